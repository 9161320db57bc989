#ifndef BASILSILL_DECISION_ANNOUNCEMENT_H_
#define BASILSILL_DECISION_ANNOUNCEMENT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Gets the entry of this VM written to the platform's VM list. A running VM
/// (the helper) writes the entry on request, many entries in one call; if no
/// helper does so in time, the VM writes the entry itself. Pure; the host
/// sends the messages and makes the calls.
///
/// Only the VM that an entry names decides its contents. If a helper dies
/// between its call and its answer, the entry may or may not have been written;
/// the VM then writes the entry itself, which is idempotent. A late write of an
/// entry of an earlier start of this VM may overwrite the current entry. The VM
/// detects this when it reads the list (OnListed) and writes its entry again.

namespace basilsill {

enum class AnnouncementStepKind : uint8_t {
  kNone,           ///< Nothing to do now.
  kRequestWrite,   ///< Ask `helper` to write the entry, as request `number`.
  kWriteDirectly,  ///< Write the entry without a helper.
  kCount
};

struct AnnouncementStep {
  AnnouncementStepKind kind = AnnouncementStepKind::kNone;
  VmHandle helper;
  uint64_t number = 0;
};

class Announcement {
 public:
  /// Starts to get the entry written.
  /// @param others_listed The VM list contains other VMs, which can help.
  /// Without any, this VM writes its entry at once.
  /// @param spread A number specific to this VM, constant for the life of the
  /// process. It spreads out the direct writes of VMs that no helper served.
  void Begin(TimePoint now, bool others_listed, uint64_t spread);

  /// The link with `vm` is up.
  void OnLinked(VmHandle vm);

  /// @returns the next step. The host must carry it out at once.
  AnnouncementStep Next(TimePoint now);

  /// @returns when Next is due if no other method is called before; kNever if
  /// no step is scheduled.
  TimePoint due() const;

  /// `vm` answered request `number`.
  void OnHelperAnswer(TimePoint now,
                      VmHandle vm,
                      uint64_t number,
                      bool written);

  /// The call made for kWriteDirectly has ended.
  void OnDirectWriteDone(TimePoint now, bool written);

  /// The VM list contains an entry of this VM.
  /// @param is_current The entry was written by this start of the VM.
  void OnListed(TimePoint now, bool is_current);

  /// @returns true if the entry is written.
  bool done() const { return this->state == State::kDone; }

 private:
  enum class State : uint8_t { kIdle, kWaiting, kRequested, kWriting, kDone };

  std::vector<VmHandle> peers;
  size_t next_peer = 0;
  State state = State::kIdle;
  VmHandle requested_helper;
  uint64_t number = 0;
  TimePoint direct_write_at{};
  uint64_t spread = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_ANNOUNCEMENT_H_
