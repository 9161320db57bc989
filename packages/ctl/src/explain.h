#ifndef BASILSILL_CTL_EXPLAIN_H_
#define BASILSILL_CTL_EXPLAIN_H_

#include <string>
#include <string_view>
#include <vector>

#include "log_line.h"

/// Tells from the logs of several VMs what became of one request, and why.

namespace basilsill::ctl {

/// The log of one node.
struct NodeLog {
  std::string vm;  ///< As its first line says, or the name of the file.
  std::vector<LogLine> lines;
};

/// @param name Of the file, for logs that do not say which VM wrote them.
NodeLog ReadNodeLog(std::string name, std::istream& input);

/// @returns the time line of the request, VM by VM, then what its VMs went
/// through at that time, then what is missing; one line each. Empty if no log
/// has a line of the request.
std::vector<std::string> Explain(std::string_view request_id,
                                 const std::vector<NodeLog>& logs);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_EXPLAIN_H_
