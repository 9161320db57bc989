#include "basilsill/decision/state_quest.h"

#include <algorithm>

namespace basilsill {
namespace {

// A VM that has room tells within some milliseconds; a whole state takes a
// tenth of a second on a narrow link. After this the next one is asked, also if
// the one before said that it will tell.
constexpr Duration kAnswerTime = std::chrono::milliseconds(200);

// Between two rounds of all peers, so that a VM that nobody can tell does not
// keep them all busy.
constexpr Duration kRoundPause = std::chrono::milliseconds(100);

}  // namespace

void StateQuest::OnLinked(VmHandle vm) {
  const bool known = std::find(this->peers.begin(), this->peers.end(), vm) !=
                     this->peers.end();
  if (!known) {
    this->peers.push_back(vm);
  }
}

void StateQuest::OnDeclined(TimePoint now, VmHandle vm, bool later) {
  if (vm != this->asked || later) {
    return;
  }
  this->asked = VmHandle{};
  this->next_at = this->turn < this->peers.size() ? now : now + kRoundPause;
}

VmHandle StateQuest::Next(TimePoint now) {
  const bool waits = IsValid(this->asked) || this->turn == this->peers.size();
  if (this->peers.empty() || (waits && now < this->next_at)) {
    return VmHandle{};
  }
  if (this->turn == this->peers.size()) {
    this->turn = 0;
  }
  this->asked = this->peers[this->turn++];
  this->next_at = now + kAnswerTime;
  return this->asked;
}

}  // namespace basilsill
