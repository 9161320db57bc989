#ifndef BASILSILL_REVIEW_SUPPORT_FLEET_H_
#define BASILSILL_REVIEW_SUPPORT_FLEET_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "net.h"
#include "record.h"

/// The project's own processes, started with the command of the deploy file,
/// and requests of clients to them.

namespace review {

struct FleetOptions {
  std::vector<std::string> command;  ///< `run` of the deploy file, in words.
  std::string directory;             ///< For settings and logs.
  std::vector<std::string> zones;    ///< Of each node.
  uint16_t store_port = 0;
  std::string store_address;
};

class Fleet {
 public:
  Fleet(FleetOptions options, Record& record);
  ~Fleet();

  /// Starts all nodes and waits until they are ready.
  /// @returns false if they are not within `limit`.
  bool Start(Milliseconds limit);
  /// Starts the process of `node`, which has ended, again.
  void StartNode(size_t node);
  void Signal(size_t node, int number);
  /// @returns true if the process of `node` has ended; its exit code and
  /// signal are then noted.
  bool HasEnded(size_t node);
  void KillAll();
  bool IsReady(size_t node) const;

  const std::string& address(size_t node) const {
    return this->addresses.at(node);
  }
  uint16_t callers_port() const { return this->front; }
  size_t size() const { return this->options.zones.size(); }

 private:
  std::string Settings(size_t node) const;

  FleetOptions options;
  Record& record;
  std::vector<std::string> addresses;
  std::vector<pid_t> processes;
  uint16_t front = 0;
};

struct RequestText {
  std::string method = "GET";
  std::string host;
  std::string path;
  std::string id;
  Milliseconds deadline{0};
  std::string body;
};

/// Sends `request` on a new connection, waits for the answer until the client's
/// deadline, and records both.
/// @returns the status; 0 if the connection ended without a whole answer.
unsigned SendRequest(const Fleet& fleet,
                     size_t node,
                     const RequestText& request,
                     Record& record);

}  // namespace review

#endif  // BASILSILL_REVIEW_SUPPORT_FLEET_H_
