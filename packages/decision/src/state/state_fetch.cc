#include "basilsill/decision/state_fetch.h"

#include <algorithm>

namespace basilsill {
namespace {

// A VM with send budget answers within some milliseconds; sending the full
// state takes a tenth of a second on a narrow link. After this time the next VM
// is asked, even if the previous one has promised to send the state later.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(200);

// Pause between two rounds of requests to all peers, so that a VM that no peer
// can serve does not keep all peers busy.
constexpr Duration kRoundPause = std::chrono::milliseconds(100);

}  // namespace

void StateFetch::OnLinked(TimePoint now, VmHandle vm, bool is_helper) {
  std::vector<VmHandle>& list = is_helper ? this->peers : this->others;
  const bool known = std::find(list.begin(), list.end(), vm) != list.end();
  if (!known) {
    list.push_back(vm);
  }
  this->include_others_at =
      std::min(this->include_others_at, now + kAnswerTimeout);
}

void StateFetch::OnDeclined(TimePoint now, VmHandle vm, bool later) {
  if (vm != this->pending_peer || later) {
    return;
  }
  this->pending_peer = VmHandle{};
  this->next_at =
      this->next_peer < this->peers.size() ? now : now + kRoundPause;
}

VmHandle StateFetch::Next(TimePoint now) {
  if (now >= this->include_others_at) {
    this->peers.insert(this->peers.end(), this->others.begin(),
                       this->others.end());
    this->others.clear();
  }
  const bool waits =
      IsValid(this->pending_peer) || this->next_peer == this->peers.size();
  if (this->peers.empty() || (waits && now < this->next_at)) {
    return VmHandle{};
  }
  if (this->next_peer == this->peers.size()) {
    this->next_peer = 0;
  }
  this->pending_peer = this->peers[this->next_peer++];
  this->next_at = now + kAnswerTimeout;
  return this->pending_peer;
}

}  // namespace basilsill
