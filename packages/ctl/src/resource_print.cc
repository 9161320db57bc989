#include "resource_print.h"

#include <algorithm>
#include <iostream>

#include <boost/json.hpp>

namespace basilsill::ctl {
namespace {

namespace json = boost::json;

constexpr size_t kColumnGap = 2;
constexpr size_t kIndent = 2;

std::string TextOf(const json::value& value) {
  return value.is_string() ? std::string(value.get_string())
                           : json::serialize(value);
}

void Indent(const json::value& value, size_t depth, std::string& out);

// Writes one entry per line between `open` and `close`.
template <typename Entries, typename WriteEntry>
void IndentEntries(const Entries& entries,
                   char open,
                   char close,
                   size_t depth,
                   std::string& out,
                   WriteEntry write) {
  out += open;
  const char* separator = "\n";
  for (const auto& entry : entries) {
    out += separator;
    out.append((depth + 1) * kIndent, ' ');
    write(entry);
    separator = ",\n";
  }
  if (!entries.empty()) {
    out += '\n';
    out.append(depth * kIndent, ' ');
  }
  out += close;
}

void Indent(const json::value& value, size_t depth, std::string& out) {
  if (value.is_object()) {
    IndentEntries(value.get_object(), '{', '}', depth, out,
                  [&](const json::key_value_pair& field) {
                    out += json::serialize(json::string(field.key())) + ": ";
                    Indent(field.value(), depth + 1, out);
                  });
  } else if (value.is_array()) {
    IndentEntries(
        value.get_array(), '[', ']', depth, out,
        [&](const json::value& entry) { Indent(entry, depth + 1, out); });
  } else {
    out += json::serialize(value);
  }
}

bool IsTable(const json::value& value) {
  const json::array* rows = value.if_array();
  return rows != nullptr && !rows->empty() &&
         std::all_of(rows->begin(), rows->end(),
                     [](const json::value& row) { return row.is_object(); });
}

// The columns are the fields of the first entry; a field that another entry
// lacks is printed as "-".
void PrintTable(std::ostream& out, const json::array& entries) {
  std::vector<std::vector<std::string>> rows(1);
  for (const auto& field : entries.front().get_object()) {
    rows.front().emplace_back(field.key());
  }
  for (const json::value& entry : entries) {
    std::vector<std::string> row;
    for (const std::string& name : rows.front()) {
      const json::value* value = entry.get_object().if_contains(name);
      row.push_back(value == nullptr ? "-" : TextOf(*value));
    }
    rows.push_back(std::move(row));
  }
  PrintColumns(out, rows);
}

void PrintFields(std::ostream& out,
                 const json::object& object,
                 const std::string& prefix) {
  for (const auto& field : object) {
    const std::string name = prefix + std::string(field.key());
    if (field.value().is_object()) {
      PrintFields(out, field.value().get_object(), name + ".");
    } else if (IsTable(field.value())) {
      out << name << ":\n";
      PrintTable(out, field.value().get_array());
    } else {
      out << name << ": " << TextOf(field.value()) << '\n';
    }
  }
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text.empty() ? "-" : text;
}

}  // namespace

void PrintColumns(std::ostream& out,
                  const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      const bool is_last = i + 1 == row.size();
      line += row[i];
      line.append(is_last ? 0 : widths[i] + kColumnGap - row[i].size(), ' ');
    }
    out << line << '\n';
  }
}

void PrintResources(std::ostream& out,
                    OutputFormat format,
                    const std::vector<ResourceAnswer>& resources) {
  if (format == OutputFormat::kJson) {
    for (const ResourceAnswer& resource : resources) {
      out << resource.whole << '\n';
    }
    return;
  }
  std::vector<std::vector<std::string>> rows = {
      {"KIND", "NAME", "VERSION", "IN FORCE", "ON VMS", "ACCEPTED AT"}};
  for (const ResourceAnswer& resource : resources) {
    rows.push_back(
        {resource.kind, resource.name, std::to_string(resource.version),
         resource.in_force ? "yes" : "no",
         std::to_string(resource.in_force_on.size()), resource.accepted_at});
  }
  PrintColumns(out, rows);
}

void PrintResource(std::ostream& out,
                   OutputFormat format,
                   const ResourceAnswer& resource) {
  if (format == OutputFormat::kJson) {
    out << resource.whole << '\n';
    return;
  }
  PrintColumns(out, {{"kind:", resource.kind},
                     {"name:", resource.name},
                     {"version:", std::to_string(resource.version)},
                     {"accepted at:", resource.accepted_at},
                     {"in force:", resource.in_force ? "yes" : "no"},
                     {"in force on:", Join(resource.in_force_on)}});
  out << IndentJson(resource.body) << '\n';
}

void PrintDocument(std::ostream& out,
                   OutputFormat format,
                   std::string_view document) {
  boost::system::error_code error;
  const json::value value =
      json::parse({document.data(), document.size()}, error);
  if (format == OutputFormat::kJson || error || !value.is_object()) {
    out << document << '\n';
    return;
  }
  PrintFields(out, value.get_object(), "");
}

std::string IndentJson(std::string_view document) {
  boost::system::error_code error;
  const json::value value =
      json::parse({document.data(), document.size()}, error);
  if (error) {
    return std::string(document);
  }
  std::string text;
  Indent(value, 0, text);
  return text;
}

ExitStatus ReportError(const ApiError& error) {
  PrintFailures(std::cerr, error.failures);
  return error.exit;
}

ExitStatus ReportMissing(const ResourcePath& path) {
  const Failure missing{FailureKind::kNotFound, path.kind + "/" + path.name,
                        "no such resource"};
  return ReportError({missing, ExitStatus::kRejected, {missing}});
}

void PrintFailures(std::ostream& out, const std::vector<Failure>& failures) {
  for (const Failure& failure : failures) {
    out << ToString(failure) << '\n';
  }
}

}  // namespace basilsill::ctl
