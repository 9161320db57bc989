#ifndef BASILSILL_SOAK_NODE_PROCESS_H_
#define BASILSILL_SOAK_NODE_PROCESS_H_

#include <chrono>
#include <memory>
#include <string>

#include "basilsill/base/endpoint.h"

/// One node of the installation under test, as a process of its own. Only
/// processes that were started here are ever signalled, by their ids.

namespace basilsill::soak {

struct NodeOptions {
  std::string program;
  std::string name;
  std::string address;    ///< On loopback, its own.
  std::string directory;  ///< For its settings and its log.
  Endpoint store;
  bool has_few_descriptors = false;  ///< Fewer than it is told.
  double repeat_slack = 0;
  std::chrono::milliseconds drain{0};
  std::chrono::milliseconds apply{0};
  std::chrono::milliseconds revoke{0};
};

class NodeProcess {
 public:
  /// @throws std::exception if its files can't be written.
  explicit NodeProcess(NodeOptions options);
  ~NodeProcess();

  /// Starts it, or starts it again. Its log goes on in the same file.
  void Start();

  /// Sends a signal, if it runs.
  void Signal(int number);

  /// @returns false once the process has ended.
  bool IsRunning();

  Endpoint callers() const;
  Endpoint readiness() const;

 private:
  struct Process;

  NodeOptions options;
  std::unique_ptr<Process> process;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_NODE_PROCESS_H_
