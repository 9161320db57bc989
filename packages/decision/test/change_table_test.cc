// Tests of a change's way from proposal to outcome.

#include "basilsill/decision/change_table.h"

#include <string>

#include "configuration_log.h"
#include "configuration_text.h"

#include <CppUTest/TestHarness.h>

namespace basilsill::test {
TEST_GROUP(ChangeTable) {
  static constexpr std::chrono::seconds kPatience{10};

  ConfigurationLog log;
  ConfigurationFollower follower;
  ChangeTable table;
  TimePoint now{};
  ChangeHandle appending;           // Of the last kAppend.
  std::vector<std::string> sent;    // Records of all kAppend.
  std::vector<ChangeOutcome> told;  // Outcomes of all kTell.

  void setup() override {
    Follow(this->follower, this->log);
  }

  void Propose(const Change& change, bool may_be_resend = false) {
    this->table.Propose(this->now,
                        {change, this->now + kPatience, 7, may_be_resend},
                        this->follower);
    this->Drain();
  }
  void Drain() {
    for (const ChangeAction& action : this->table.actions()) {
      if (action.kind == ChangeActionKind::kAppend) {
        this->appending = action.change;
        this->sent.push_back(action.record);
      } else if (action.kind == ChangeActionKind::kReply) {
        this->told.push_back(action.outcome);
      }
    }
    this->table.ClearActions();
  }
  void EndAppend(AppendResult end) {
    this->table.OnAppend(this->now, this->appending, end);
    this->Drain();
  }
  // A read that is sent now goes to the end of the log.
  void Read() {
    const uint64_t ticket = this->table.read_ticket();
    this->table.OnFollow(Follow(this->follower, this->log), this->follower);
    this->table.OnCaughtUp(this->now, ticket, this->follower);
    this->Drain();
  }
  void Wait(Duration span) {
    this->now += span;
    this->table.Tick(this->now, this->follower);
    this->Drain();
  }
  void CheckTold(size_t count, ChangeStatus last) {
    CHECK_EQUAL(count, this->told.size());
    STRCMP_EQUAL(std::string(NameOf(last)).c_str(),
                 std::string(NameOf(this->told.back().status)).c_str());
  }
  // Another VM's change.
  void AppendOther(const Change& change) {
    this->log.Append(WriteChange(change));
  }
};

TEST(ChangeTable, Accepted_ToldOnlyAfterReadBack) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->log.Append(this->sent.at(0));
  this->EndAppend(AppendResult::kAnswered);
  CHECK(this->told.empty());
  this->Read();
  this->CheckTold(1, ChangeStatus::kAccepted);
  CHECK_EQUAL(0, *this->told[0].version);
  CHECK_EQUAL(7, this->told[0].cookie);
  CHECK_EQUAL(0, this->table.size());
}

TEST(ChangeTable, Race_OtherChangeFirst_ConflictWithCurrentVersion) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->AppendOther(PutOf("b", TeamOf("t", 2)));
  this->log.Append(this->sent.at(0));
  this->EndAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckTold(1, ChangeStatus::kConflict);
  CHECK_EQUAL(0, *this->told[0].version);
}

// Story: the append takes effect, its answer is lost. Sent again at once it
// would stand twice; reading on shows that it is there.
TEST(ChangeTable, LostAnswer_RecordIsThere_AcceptedWithoutSecondAppend) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->log.Append(this->sent.at(0));
  this->EndAppend(AppendResult::kUnknown);
  CHECK_EQUAL(1, this->sent.size());
  this->Read();
  this->CheckTold(1, ChangeStatus::kAccepted);
  CHECK_EQUAL(1, this->sent.size());
}

// Story: the answer is lost and the record is not in the log, so the table
// appends it again. Then the first append takes effect after all, and the
// second one too. The change must count once.
TEST(ChangeTable, LostAnswer_EffectComesLate_CountsOnce) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->EndAppend(AppendResult::kUnknown);
  this->Read();
  CHECK_EQUAL(2, this->sent.size());
  STRCMP_EQUAL(this->sent[0].c_str(), this->sent[1].c_str());
  this->log.Append(this->sent[0]);
  this->log.Append(this->sent[1]);
  this->EndAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckTold(1, ChangeStatus::kAccepted);
  CHECK_EQUAL(0, *this->told[0].version);
}

// Story: a read that was on its way when the answer got lost does not show
// the record. It can't: it was sent before. Only a later one counts.
TEST(ChangeTable, LostAnswer_OlderReadSaysNothing_NoSecondAppend) {
  const uint64_t older = this->table.read_ticket();
  this->Propose(PutOf("a", TeamOf("t")));
  this->EndAppend(AppendResult::kUnknown);
  this->table.OnCaughtUp(this->now, older, this->follower);
  this->Drain();
  CHECK_EQUAL(1, this->sent.size());
}

// Story: the log hangs past the operator's patience, who hears `unresolved`.
// When it answers again, a withdrawal settles the matter: the append that was
// under way all the time comes after it and does nothing.
TEST(ChangeTable, Patience_Over_UnresolvedThenVoidByWithdrawal) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->Wait(kPatience);
  this->CheckTold(1, ChangeStatus::kUnresolved);
  this->EndAppend(AppendResult::kUnknown);
  this->Read();
  CHECK_EQUAL(2, this->sent.size());
  this->log.Append(this->sent[1]);
  this->log.Append(this->sent[0]);
  this->EndAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckTold(2, ChangeStatus::kVoid);
  CHECK(this->follower.state().Find({ResourceKind::kTeam, "t"}) == nullptr);
}

TEST(ChangeTable, Patience_OverButRecordWasFirst_AcceptedAfterUnresolved) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->EndAppend(AppendResult::kUnknown);
  this->Wait(kPatience);
  this->CheckTold(1, ChangeStatus::kUnresolved);
  this->Read();
  this->log.Append(this->sent[0]);
  this->log.Append(this->sent[1]);
  this->EndAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckTold(2, ChangeStatus::kAccepted);
}

TEST(ChangeTable, LogDown_NothingEverTaken_VoidNotUnresolved) {
  this->Propose(PutOf("a", TeamOf("t")));
  this->EndAppend(AppendResult::kNoEffect);
  this->Wait(limits::kChangeRetryMin / 2);
  CHECK_EQUAL(1, this->sent.size());
  this->Wait(limits::kChangeRetryMin);
  CHECK_EQUAL(2, this->sent.size());
  this->EndAppend(AppendResult::kNoEffect);
  this->Wait(kPatience);
  this->CheckTold(1, ChangeStatus::kVoid);
  CHECK_EQUAL(0, this->table.size());
}

// Story: an operator's script makes a team at one VM, hears `accepted`, and
// makes a service at another VM, which has not read the team yet. That must
// not be refused as a dangling reference.
TEST(ChangeTable, Check_FailsHereOnly_ReadsOnBeforeItRefuses) {
  this->AppendOther(PutOf("a", TeamOf("t")));
  this->Propose(PutOf("b", ServiceOf("s", "t")));
  CHECK(this->told.empty());
  CHECK(this->sent.empty());
  this->Read();
  CHECK_EQUAL(1, this->sent.size());
  this->Propose(PutOf("c", RuleOf("r", "no-such", "/")));
  this->Read();
  this->CheckTold(1, ChangeStatus::kRejected);
  CHECK(FailureKind::kDanglingReference == this->told[0].failures[0].kind);
}

TEST(ChangeTable, Check_StaleBase_ConflictWithoutAppend) {
  this->AppendOther(PutOf("a", TeamOf("t")));
  this->AppendOther(PutOf("b", TeamOf("t", 2), 0));
  this->Read();
  this->Propose(PutOf("c", TeamOf("t", 3), 0));
  this->Read();
  this->CheckTold(1, ChangeStatus::kConflict);
  CHECK_EQUAL(1, *this->told[0].version);
  CHECK(this->sent.empty());
}

// Story: an operator gets no answer and sends the same change, with the same
// id, through another VM. It was accepted meanwhile, and even replaced.
TEST(ChangeTable, Resend_DecidedBefore_SameAnswer) {
  this->AppendOther(PutOf("a", TeamOf("t")));
  this->AppendOther(PutOf("b", TeamOf("t", 2), 0));
  this->Read();
  this->Propose(PutOf("a", TeamOf("t")), true);
  this->CheckTold(1, ChangeStatus::kAccepted);
  CHECK_EQUAL(0, *this->told[0].version);
  CHECK(this->sent.empty());
}

// Story: an operator's first append hangs at another VM, and the change comes
// again here, where it names a team that is gone. Refused here alone, it could
// still be taken there once the team is back. So the log must say no.
TEST(ChangeTable, Resend_NotValidHere_RefusedByARecord) {
  this->Propose(PutOf("a", ServiceOf("s", "t")), true);
  this->Read();
  CHECK(this->told.empty());
  this->log.Append(this->sent.at(0));
  this->EndAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckTold(1, ChangeStatus::kRejected);
  this->AppendOther(PutOf("b", TeamOf("t")));
  this->AppendOther(PutOf("a", ServiceOf("s", "t")));
  this->Read();
  CHECK(this->follower.state().Find({ResourceKind::kService, "s"}) == nullptr);
}

// Story: the same, but the log takes nothing here. What hangs at the other VM
// may still be taken, so `void` would be a promise that this VM can't keep.
TEST(ChangeTable, Resend_LogTakesNothing_UnresolvedThenWithdrawn) {
  this->Propose(PutOf("a", TeamOf("t")), true);
  this->EndAppend(AppendResult::kNoEffect);
  this->Wait(kPatience);
  this->CheckTold(1, ChangeStatus::kUnresolved);
  this->Wait(limits::kChangeRetryMax);
  this->log.Append(this->sent.at(1));
  this->AppendOther(PutOf("a", TeamOf("t")));
  this->EndAppend(AppendResult::kAnswered);
  this->Read();
  this->CheckTold(2, ChangeStatus::kVoid);
  CHECK(this->follower.state().Find({ResourceKind::kTeam, "t"}) == nullptr);
}

// Story: an append hangs while other VMs append thousands of records. Should
// it still take effect it counts for nobody, so the operator can be told.
TEST(ChangeTable, Lapse_WindowPassed_VoidForGood) {
  this->Propose(PutOf("a", TeamOf("t")));
  for (size_t i = 0; i <= limits::kChangeWindow; ++i) {
    this->log.Append("filler");
  }
  this->Read();
  this->CheckTold(1, ChangeStatus::kVoid);
  this->log.Append(this->sent[0]);
  this->Read();
  CHECK(this->follower.state().Find({ResourceKind::kTeam, "t"}) == nullptr);
}

// Story: this VM is cut off for longer than the log keeps records and goes on
// from a peer's snapshot. The peer's memory of ids tells what became of it.
TEST(ChangeTable, Jump_DecisionSkipped_ToldFromTheSnapshot) {
  this->Propose(PutOf("a", TeamOf("t")));
  ConfigurationFollower peer;
  this->log.Append(this->sent[0]);
  this->AppendOther(DeleteOf("b", {ResourceKind::kTeam, "t"}, 0));
  Follow(peer, this->log);
  this->table.OnFollow(
      this->follower.OnSnapshot(WriteCheckpoint(peer.state(), "s")),
      this->follower);
  this->Drain();
  this->CheckTold(1, ChangeStatus::kAccepted);
}

TEST(ChangeTable, Jump_PastTheWindow_OutcomeUnknown) {
  this->Propose(PutOf("a", TeamOf("t")));
  ConfigurationFollower peer;
  for (size_t i = 0; i <= limits::kChangeWindow; ++i) {
    this->log.Append("filler");
  }
  Follow(peer, this->log);
  this->table.OnFollow(
      this->follower.OnSnapshot(WriteCheckpoint(peer.state(), "s")),
      this->follower);
  this->Drain();
  this->CheckTold(1, ChangeStatus::kUnknown);
}

TEST(ChangeTable, Searching_VmHasNoState_RefusedAtOnce) {
  this->follower = {};
  this->Propose(PutOf("a", TeamOf("t")));
  this->CheckTold(1, ChangeStatus::kVoid);
  this->Propose(PutOf("b", TeamOf("t")), true);
  this->CheckTold(2, ChangeStatus::kUnknown);
}

}  // namespace basilsill::test
