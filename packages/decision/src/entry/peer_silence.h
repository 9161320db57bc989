#ifndef BASILSILL_DECISION_PEER_SILENCE_H_
#define BASILSILL_DECISION_PEER_SILENCE_H_

#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Detects dispatchers that have gone silent, by the requests that are in
/// flight to them anyway. A VM that is paused or cut off keeps its links open
/// for a long time, and every request sent to it before the links break would
/// be stuck.

namespace basilsill {

class PeerSilence {
 public:
  /// A request that should be answered soon was sent to `vm`. Each call must be
  /// followed by one call of OnDone.
  void OnSent(TimePoint now, VmHandle vm);
  void OnDone(VmHandle vm);

  /// A message arrived from `vm`.
  void OnReceived(TimePoint now, VmHandle vm);

  /// @returns true if a request to `vm` is in flight and `vm` has been silent
  /// for far longer than usual and than `expected`, the expected duration of a
  /// request there.
  bool IsSilent(TimePoint now, VmHandle vm, Duration expected) const;

 private:
  struct Peer {
    VmHandle vm;
    uint32_t waiting = 0;
    bool known = false;
    TimePoint since{};  ///< Last message, or first request in flight if later.
    Duration mean{0};   ///< Mean time from `since` to the next message.
    Duration deviation{0};
  };

  Peer& PeerOf(VmHandle vm);

  std::vector<Peer> peers;  ///< Indexed by handle.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_PEER_SILENCE_H_
