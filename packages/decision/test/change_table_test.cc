// Tests of the handling of a change from proposal to outcome.

#include "basilsill/decision/change_table.h"

#include <string>

#include "configuration_log.h"
#include "configuration_text.h"

#include <CppUTest/TestHarness.h>

namespace basilsill::test {
TEST_GROUP(ChangeTable) {
  static constexpr std::chrono::seconds kChangeTimeout{10};

  ConfigurationLog log;
  ConfigurationFollower follower;
  ChangeTable table;
  TimePoint now{};
  ChangeHandle appending;              // Change of the last kAppend.
  std::vector<std::string> sent;       // Records of all kAppend.
  std::vector<ChangeOutcome> replies;  // Outcomes of all kReply.

  void setup() override {
    Follow(this->follower, this->log);
  }

  void Propose(const Change& change, bool may_be_resend = false) {
    this->table.Propose(this->now,
                        {change, this->now + kChangeTimeout, 7, may_be_resend},
                        this->follower);
    this->CollectActions();
  }
  void CollectActions() {
    for (const ChangeAction& action : this->table.actions()) {
      if (action.kind == ChangeActionKind::kAppend) {
        this->appending = action.change;
        this->sent.push_back(action.record);
      } else if (action.kind == ChangeActionKind::kReply) {
        this->replies.push_back(action.outcome);
      }
    }
    this->table.ClearActions();
  }
  void CompleteAppend(AppendResult append_result) {
    this->table.OnAppend(this->now, this->appending, append_result);
    this->CollectActions();
  }
  // Sends a read and delivers its answer, which reaches the end of the log.
  void Read() {
    const uint64_t ticket = this->table.read_ticket();
    this->table.OnFollow(Follow(this->follower, this->log), this->follower);
    this->table.OnCaughtUp(this->now, ticket, this->follower);
    this->CollectActions();
  }
  void Wait(Duration span) {
    this->now += span;
    this->table.Tick(this->now, this->follower);
    this->CollectActions();
  }
  void CheckReplies(size_t count, ChangeStatus last) {
    CHECK_EQUAL(count, this->replies.size());
    STRCMP_EQUAL(std::string(NameOf(last)).c_str(),
                 std::string(NameOf(this->replies.back().status)).c_str());
  }
  // Appends a change made by another VM.
  void AppendFromOtherVm(const Change& change) {
    this->log.Append(WriteChange(change));
  }
};

TEST(ChangeTable, Accepted_AppendAnswered_ReportedOnlyAfterReadBack) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->log.Append(this->sent.at(0));
  this->CompleteAppend(AppendResult::kAnswered);
  CHECK(this->replies.empty());
  this->Read();
  this->CheckReplies(1, ChangeStatus::kAccepted);
  CHECK_EQUAL(0, *this->replies[0].version);
  CHECK_EQUAL(7, this->replies[0].cookie);
  CHECK_EQUAL(0, this->table.size());
}

TEST(ChangeTable, Race_OtherChangeFirst_ConflictWithCurrentVersion) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->AppendFromOtherVm(PutOf("b", TeamOf("t", 2)));
  this->log.Append(this->sent.at(0));
  this->CompleteAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckReplies(1, ChangeStatus::kConflict);
  CHECK_EQUAL(0, *this->replies[0].version);
}

// Failure: an append takes effect but its answer is lost, and the record is
// appended a second time at once, although a read would show that it is in the
// log.
TEST(ChangeTable, LostAnswer_RecordInLog_AcceptedWithoutSecondAppend) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->log.Append(this->sent.at(0));
  this->CompleteAppend(AppendResult::kUnknown);
  CHECK_EQUAL(1, this->sent.size());
  this->Read();
  this->CheckReplies(1, ChangeStatus::kAccepted);
  CHECK_EQUAL(1, this->sent.size());
}

// Failure: the answer is lost and the record is not in the log, so the table
// appends it again. Then both appends take effect, and the change is applied
// twice.
TEST(ChangeTable, LostAnswer_LateEffect_AppliedOnce) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->CompleteAppend(AppendResult::kUnknown);
  this->Read();
  CHECK_EQUAL(2, this->sent.size());
  STRCMP_EQUAL(this->sent[0].c_str(), this->sent[1].c_str());
  this->log.Append(this->sent[0]);
  this->log.Append(this->sent[1]);
  this->CompleteAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckReplies(1, ChangeStatus::kAccepted);
  CHECK_EQUAL(0, *this->replies[0].version);
}

// Failure: a read that was in flight when the answer was lost does not show the
// record, because it was sent earlier, and the table appends the record again.
// Only a read sent after the loss may decide.
TEST(ChangeTable, LostAnswer_ReadSentEarlier_NoSecondAppend) {
  const uint64_t older = this->table.read_ticket();
  this->Propose(PutOf("a", TeamOf("t")));
  this->CompleteAppend(AppendResult::kUnknown);
  this->table.OnCaughtUp(this->now, older, this->follower);
  this->CollectActions();
  CHECK_EQUAL(1, this->sent.size());
}

// Failure: the log hangs until the operator's deadline has passed and the
// change is reported as `unresolved`. The append that was in flight takes
// effect much later. A withdrawal that is appended before it must void it.
TEST(ChangeTable, Deadline_Passed_UnresolvedThenVoidByWithdrawal) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->Wait(kChangeTimeout);
  this->CheckReplies(1, ChangeStatus::kUnresolved);
  this->CompleteAppend(AppendResult::kUnknown);
  this->Read();
  CHECK_EQUAL(2, this->sent.size());
  this->log.Append(this->sent[1]);
  this->log.Append(this->sent[0]);
  this->CompleteAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckReplies(2, ChangeStatus::kVoid);
  CHECK(this->follower.state().Find({ResourceKind::kTeam, "t"}) == nullptr);
}

TEST(ChangeTable, Deadline_PassedButRecordFirst_AcceptedAfterUnresolved) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->CompleteAppend(AppendResult::kUnknown);
  this->Wait(kChangeTimeout);
  this->CheckReplies(1, ChangeStatus::kUnresolved);
  this->Read();
  this->log.Append(this->sent[0]);
  this->log.Append(this->sent[1]);
  this->CompleteAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckReplies(2, ChangeStatus::kAccepted);
}

TEST(ChangeTable, LogDown_NothingAppended_VoidNotUnresolved) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->CompleteAppend(AppendResult::kNoEffect);
  this->Wait(limits::kChangeRetryMin / 2);
  CHECK_EQUAL(1, this->sent.size());
  this->Wait(limits::kChangeRetryMin);
  CHECK_EQUAL(2, this->sent.size());
  this->CompleteAppend(AppendResult::kNoEffect);
  this->Wait(kChangeTimeout);
  this->CheckReplies(1, ChangeStatus::kVoid);
  CHECK_EQUAL(0, this->table.size());
}

// Failure: an operator's script creates a team on one VM, gets `accepted`, and
// creates a service on another VM, which has not read the team's record yet.
// That VM rejects the service as a dangling reference.
TEST(ChangeTable, Check_FailsOnThisVmOnly_ReadsLogBeforeRejecting) {
  this->AppendFromOtherVm(PutOf("a", TeamOf("t")));
  this->Propose(PutOf("b", ServiceOf("s", "t")));
  CHECK(this->replies.empty());
  CHECK(this->sent.empty());
  this->Read();
  CHECK_EQUAL(1, this->sent.size());
  this->Propose(PutOf("c", RuleOf("r", "no-such", "/")));
  this->Read();
  this->CheckReplies(1, ChangeStatus::kRejected);
  CHECK(FailureKind::kDanglingReference == this->replies[0].failures[0].kind);
}

TEST(ChangeTable, Check_StaleBase_ConflictWithoutAppend) {
  this->AppendFromOtherVm(PutOf("a", TeamOf("t")));
  this->AppendFromOtherVm(PutOf("b", TeamOf("t", 2), 0));
  this->Read();
  this->Propose(PutOf("c", TeamOf("t", 3), 0));
  this->Read();
  this->CheckReplies(1, ChangeStatus::kConflict);
  CHECK_EQUAL(1, *this->replies[0].version);
  CHECK(this->sent.empty());
}

// Failure: an operator gets no answer and resends the change with the same id
// through another VM. Meanwhile it was accepted and even replaced, and the
// resend is reported as a conflict.
TEST(ChangeTable, Resend_DecidedBefore_SameAnswer) {
  this->AppendFromOtherVm(PutOf("a", TeamOf("t")));
  this->AppendFromOtherVm(PutOf("b", TeamOf("t", 2), 0));
  this->Read();
  this->Propose(PutOf("a", TeamOf("t")), true);
  this->CheckReplies(1, ChangeStatus::kAccepted);
  CHECK_EQUAL(0, *this->replies[0].version);
  CHECK(this->sent.empty());
}

// Failure: an operator's first append hangs on another VM, and the change is
// resent here, where it refers to a team that was deleted. If only this VM
// rejects it, the first append can still be accepted once the team exists
// again. So a record in the log must reject it.
TEST(ChangeTable, Resend_InvalidOnThisVm_RejectedByRecord) {
  this->Propose(PutOf("a", ServiceOf("s", "t")), true);
  this->Read();
  CHECK(this->replies.empty());
  this->log.Append(this->sent.at(0));
  this->CompleteAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckReplies(1, ChangeStatus::kRejected);
  this->AppendFromOtherVm(PutOf("b", TeamOf("t")));
  this->AppendFromOtherVm(PutOf("a", ServiceOf("s", "t")));
  this->Read();
  CHECK(this->follower.state().Find({ResourceKind::kService, "s"}) == nullptr);
}

// Failure: a change is resent here while its first append hangs on another VM.
// The log refuses the append of this VM, which reports `void`, although the
// first append may still take effect.
TEST(ChangeTable, Resend_LogRefusesAppend_UnresolvedThenWithdrawn) {
  this->Propose(PutOf("a", TeamOf("t")), true);
  this->CompleteAppend(AppendResult::kNoEffect);
  this->Wait(kChangeTimeout);
  this->CheckReplies(1, ChangeStatus::kUnresolved);
  this->Wait(limits::kChangeRetryMax);
  this->log.Append(this->sent.at(1));
  this->AppendFromOtherVm(PutOf("a", TeamOf("t")));
  this->CompleteAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckReplies(2, ChangeStatus::kVoid);
  CHECK(this->follower.state().Find({ResourceKind::kTeam, "t"}) == nullptr);
}

// Failure: an append hangs while other VMs append thousands of records, and the
// operator gets no final outcome. If the append still takes effect, every VM
// ignores it, so the change can be reported as void.
TEST(ChangeTable, Expiry_WindowPassed_VoidPermanently) {
  this->Propose(PutOf("a", TeamOf("t")));
  for (size_t i = 0; i <= limits::kChangeWindow; ++i) {
    this->log.Append("filler");
  }
  this->Read();
  this->CheckReplies(1, ChangeStatus::kVoid);
  this->log.Append(this->sent[0]);
  this->Read();
  CHECK(this->follower.state().Find({ResourceKind::kTeam, "t"}) == nullptr);
}

// Failure: this VM is disconnected for longer than the log retains records and
// continues from a peer's snapshot, so it never reads the record of its change.
// The snapshot contains the decision.
TEST(ChangeTable, Snapshot_DecisionSkipped_OutcomeFromSnapshot) {
  this->Propose(PutOf("a", TeamOf("t")));
  ConfigurationFollower peer;
  this->log.Append(this->sent[0]);
  this->AppendFromOtherVm(DeleteOf("b", {ResourceKind::kTeam, "t"}, 0));
  Follow(peer, this->log);
  this->table.OnFollow(
      this->follower.OnSnapshot(WriteCheckpoint(peer.state(), "s")),
      this->follower);
  this->CollectActions();
  this->CheckReplies(1, ChangeStatus::kAccepted);
}

TEST(ChangeTable, Snapshot_PastWindow_OutcomeUnknown) {
  this->Propose(PutOf("a", TeamOf("t")));
  ConfigurationFollower peer;
  for (size_t i = 0; i <= limits::kChangeWindow; ++i) {
    this->log.Append("filler");
  }
  Follow(peer, this->log);
  this->table.OnFollow(
      this->follower.OnSnapshot(WriteCheckpoint(peer.state(), "s")),
      this->follower);
  this->CollectActions();
  this->CheckReplies(1, ChangeStatus::kUnknown);
}

TEST(ChangeTable, Searching_NoState_RefusedImmediately) {
  this->follower = {};
  this->Propose(PutOf("a", TeamOf("t")));
  this->CheckReplies(1, ChangeStatus::kVoid);
  this->Propose(PutOf("b", TeamOf("t")), true);
  this->CheckReplies(2, ChangeStatus::kUnknown);
}

}  // namespace basilsill::test
