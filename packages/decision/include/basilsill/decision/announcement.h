#ifndef BASILSILL_DECISION_ANNOUNCEMENT_H_
#define BASILSILL_DECISION_ANNOUNCEMENT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// How a VM gets its entry written to the platform's list of VMs: by a VM that
/// already runs, which writes many at a time, or by itself if none does so in
/// time. Pure; the shell sends and calls.
///
/// Only the VM that an entry names says what it holds. A helper that dies
/// between its call and its answer leaves the entry written, or not; the VM
/// writes it itself then, and the same record twice is one entry. A late write
/// of an earlier start's entry may replace a later one's. The VM finds that out
/// as it reads the list that it is on (OnListed), and writes its entry again.

namespace basilsill {

enum class AnnouncementStepKind : uint8_t {
  kNone,           ///< Nothing to do now.
  kAskHelper,      ///< Ask `helper` to write it, as request `number`.
  kWriteDirectly,  ///< Write it.
  kCount
};

struct AnnouncementStep {
  AnnouncementStepKind kind = AnnouncementStepKind::kNone;
  VmHandle helper;
  uint64_t number = 0;
};

class Announcement {
 public:
  /// The entry is to be written.
  /// @param others_listed Others are there who may help. A VM that knows nobody
  /// does not wait for any.
  /// @param spread A number of this VM's own, the same for the whole process:
  /// VMs that nobody helped do not all write at the same moment.
  void Begin(TimePoint now, bool others_listed, uint64_t spread);

  /// A link with `vm` works.
  void OnLinked(VmHandle vm);

  /// @returns what to do now. The shell does it at once.
  AnnouncementStep Next(TimePoint now);

  /// @returns when Next is due if nothing else happens; kNever if done.
  TimePoint due() const;

  /// `vm` answered request `number`.
  void OnHelperAnswer(TimePoint now,
                      VmHandle vm,
                      uint64_t number,
                      bool written);

  /// The call of kWriteAlone has ended.
  void OnDirectWriteDone(TimePoint now, bool written);

  /// The list shows an entry of this VM. @param is_current It holds what this
  /// start of the VM says.
  void OnListed(TimePoint now, bool is_current);

  /// @returns true if nothing is left to be written.
  bool done() const { return this->state == State::kDone; }

 private:
  enum class State : uint8_t { kIdle, kWaiting, kAsked, kWriting, kDone };

  std::vector<VmHandle> peers;
  size_t turn = 0;
  State state = State::kIdle;
  VmHandle asked;
  uint64_t number = 0;
  TimePoint alone_at{};
  uint64_t spread = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_ANNOUNCEMENT_H_
