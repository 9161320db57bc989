#ifndef BASILSILL_REVIEW_SUPPORT_SCENE_H_
#define BASILSILL_REVIEW_SUPPORT_SCENE_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "instance.h"
#include "record.h"
#include "store.h"

/// What all cases have in common: the arguments, the store, the operator's
/// configuration, the nodes and a steady flow of requests.

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Arguments of a scene: DIRECTORY RECORD COMMAND...
struct SceneArguments {
  std::string directory;
  std::string record;
  std::vector<std::string> command;
  bool has_trouble = true;  ///< False if TROUBLE=0 is set.
};

SceneArguments ReadArguments(int count, char** words);

struct RouteText {
  std::string name;  ///< Its paths begin with /NAME/.
  std::string kind;
  std::string service;
  Milliseconds timeout{1500};
  Milliseconds target{500};
  int attempts = 2;
};

inline constexpr char kHost[] = "hulo84.example";

/// @returns a configuration of the operator.
std::string ConfigurationText(const std::string& version,
                              const std::vector<RouteText>& routes);

/// Sends requests at a steady rate, to one node after the other.
class Flow {
 public:
  struct Options {
    double per_second = 1;
    /// Nodes that get requests, by their numbers.
    std::vector<size_t> nodes;
    RequestText request;  ///< `id` is set for each.
    std::string prefix;   ///< Of the ids.
  };

  Flow(const Fleet& fleet, Record& record, Options options);

  /// Sends requests until `until`.
  void SendUntil(Clock::time_point until);
  /// Waits until all requests have ended.
  void Join();

 private:
  const Fleet& fleet;
  Record& record;
  Options options;
  uint64_t sent = 0;
  std::vector<std::thread> threads;
};

}  // namespace review

#endif  // BASILSILL_REVIEW_SUPPORT_SCENE_H_
