#ifndef BASILSILL_SOAK_NODE_PROCESS_H_
#define BASILSILL_SOAK_NODE_PROCESS_H_

#include <chrono>
#include <memory>
#include <string>

#include "basilsill/base/endpoint.h"

/// One node of the installation under test, run as a separate process. Signals
/// go only to processes started here, by process id.

namespace basilsill::soak {

struct NodeOptions {
  std::string program;
  std::string name;
  std::string address;    ///< On loopback, unique to the node.
  std::string directory;  ///< Of its settings file and its log.
  Endpoint store;
  /// The process can open fewer file descriptors than its settings allow for.
  bool has_low_descriptor_limit = false;
  double repeat_slack = 0;
  std::chrono::milliseconds drain{0};
  std::chrono::milliseconds apply{0};
  std::chrono::milliseconds revoke{0};
};

class NodeProcess {
 public:
  /// @throws std::exception if the settings file can't be written.
  explicit NodeProcess(NodeOptions options);
  ~NodeProcess();

  /// Starts or restarts the process. A restart appends to the same log file.
  /// @throws std::exception if the log can't be opened or the process can't be
  /// started.
  void Start();

  /// Sends a signal if the process is running.
  void Signal(int number);

  /// @returns false if the process was not started or has exited.
  bool IsRunning();

  /// @returns the id of the process; 0 if it does not run.
  int pid();

  Endpoint callers() const;
  Endpoint readiness() const;

 private:
  struct Process;

  NodeOptions options;
  std::unique_ptr<Process> process;
};

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_NODE_PROCESS_H_
