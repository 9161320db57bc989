#ifndef BASILSILL_DECISION_PEER_SILENCE_H_
#define BASILSILL_DECISION_PEER_SILENCE_H_

#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Notices dispatchers that have gone silent, from the requests that are on
/// their way there anyway. A VM that is paused or cut off keeps its links open
/// for long; until they break, each request sent there would be stuck.

namespace basilsill {

class PeerSilence {
 public:
  /// A request that should be answered soon went to `vm`, until its OnDone.
  void OnSent(TimePoint now, VmHandle vm);
  void OnDone(VmHandle vm);

  /// Anything came from `vm`.
  void OnReceived(TimePoint now, VmHandle vm);

  /// @returns true if `vm` owes an answer for far longer than it usually does,
  /// and than `expected` for a request there.
  bool IsSilent(TimePoint now, VmHandle vm, Duration expected) const;

 private:
  struct Peer {
    VmHandle vm;
    uint32_t waiting = 0;
    bool known = false;
    TimePoint since{};  ///< Last word, or the first request since nothing.
    Duration mean{0};   ///< From then to the next word.
    Duration deviation{0};
  };

  Peer& PeerOf(VmHandle vm);

  std::vector<Peer> peers;  ///< By index of the handle.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_PEER_SILENCE_H_
