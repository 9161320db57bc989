#ifndef BASILSILL_CTL_EXPLAIN_H_
#define BASILSILL_CTL_EXPLAIN_H_

#include <string>
#include <string_view>
#include <vector>

#include "log_line.h"

/// Reconstructs the course of one request from the logs of several VMs.

namespace basilsill::ctl {

/// The log of one node.
struct NodeLog {
  std::string vm;  ///< From the node-starting line, else the name of the file.
  std::vector<LogLine> lines;
};

/// Lines that no node wrote are skipped.
/// @param name Name of the file, for logs without a node-starting line.
NodeLog ReadNodeLog(std::string name, std::istream& input);

/// @returns one string per line of output: first the events of the request in
/// order of time, then the other events of the VMs involved, then what is
/// missing from the logs. Empty if no log contains the request.
std::vector<std::string> Explain(std::string_view request_id,
                                 const std::vector<NodeLog>& logs);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_EXPLAIN_H_
