#ifndef BASILSILL_CTL_RESOURCE_PRINT_H_
#define BASILSILL_CTL_RESOURCE_PRINT_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "resource_answer.h"
#include "resource_client.h"

/// Output of the resource commands.

namespace basilsill::ctl {

enum class OutputFormat : uint8_t {
  kTable,  ///< Human-readable.
  kJson,   ///< One JSON text per line.
  kCount
};

/// Prints rows with aligned columns; a heading is the first row.
void PrintColumns(std::ostream& out,
                  const std::vector<std::vector<std::string>>& rows);

/// Prints one line for each resource.
void PrintResources(std::ostream& out,
                    OutputFormat format,
                    const std::vector<ResourceAnswer>& resources);

/// Prints one resource with its status and spec.
void PrintResource(std::ostream& out,
                   OutputFormat format,
                   const ResourceAnswer& resource);

/// Prints a JSON text. In the table format an object has one field per line,
/// and arrays of objects are tables.
void PrintDocument(std::ostream& out,
                   OutputFormat format,
                   std::string_view document);

/// @returns `document` with line breaks and indentation; unchanged if it is not
/// valid JSON.
std::string IndentJson(std::string_view document);

/// Prints the failures of a call to standard error.
/// @returns the status to exit with.
ExitStatus ReportError(const ApiError& error);

/// Prints to standard error that a resource does not exist.
/// @returns the status to exit with.
ExitStatus ReportMissing(const ResourcePath& path);

/// Prints one line for each failure.
void PrintFailures(std::ostream& out, const std::vector<Failure>& failures);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_PRINT_H_
