// Tests of following a topic: listing it, reading further records, and one VM
// that reads for the fleet.

#include "basilsill/decision/topic_follower.h"

#include <array>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Duration;
using basilsill::LogPosition;
using basilsill::TimePoint;
using basilsill::TopicCallKind;
using basilsill::TopicFollower;
using basilsill::TopicFollowerOptions;

namespace {

TopicFollowerOptions DefaultOptions() {
  TopicFollowerOptions options;
  options.interval = 600ms;
  options.max_silence = 1050ms;
  options.degraded_max_silence = 1800ms;
  return options;
}

LogPosition At(uint64_t offset, uint64_t era = 0) {
  return LogPosition(offset, era);
}

}  // namespace

TEST_GROUP(TopicFollower) {
  TopicFollower follower{DefaultOptions()};
  TimePoint now{1s};

  void setup() override {
    this->follower.OnPage(this->now, At(10), false, "k");
  }
};

TEST(TopicFollower, OnPage_MoreFollow_ContinuesAfterLastKey) {
  TopicFollower fresh(DefaultOptions());
  CHECK_FALSE(fresh.OnPage(this->now, At(10), true, "m"));
  CHECK(fresh.NextCall().kind == TopicCallKind::kListNewest);
  STRCMP_EQUAL("m", fresh.NextCall().after.c_str());
  CHECK_FALSE(fresh.is_fully_listed());
}

// Failure: a record is appended between the first page of a listing and the
// last. A read from the end offset of the last page would miss it.
TEST(TopicFollower, OnPage_RecordsAppendedMeanwhile_ReadsFromFirstEnd) {
  TopicFollower fresh(DefaultOptions());
  fresh.OnPage(this->now, At(10), true, "m");
  CHECK(fresh.OnPage(this->now, At(12), false, "z"));
  CHECK(fresh.NextCall().kind == TopicCallKind::kReadOn);
  CHECK_EQUAL(10, fresh.NextCall().from.offset);
}

// Failure: a starting VM makes a needless call. All VMs of a fleet may start at
// once, so the store has to serve one from each.
TEST(TopicFollower, OnPage_ListingOfOnePage_DoesNotReadAtOnce) {
  TopicFollower fresh(DefaultOptions());
  CHECK(fresh.OnPage(this->now, At(10), false, "m"));
  CHECK(fresh.due() >= this->now + 600ms);
  CHECK(fresh.due() <= this->now + 1050ms);
}

// A record that the operator writes must take effect soon, also if no VM reads
// at that moment. So the store holds the read of the one VM that reads for the
// fleet.
TEST(TopicFollower, Read_FirstVm_HeldContinuously) {
  TopicFollowerOptions options = DefaultOptions();
  options.hold = 600ms;
  TopicFollower first(options);
  first.OnPage(this->now, At(10), false, "k");
  CHECK(first.due() <= this->now);
  CHECK(first.NextCall().hold == 600ms);
  first.OnRecords(this->now, At(11), At(11));
  CHECK(first.due() <= this->now + 50ms);
}

TEST(TopicFollower, Read_HigherRank_NotHeld) {
  TopicFollowerOptions options = DefaultOptions();
  options.hold = 600ms;
  TopicFollower second(options);
  second.SetRank(1);
  second.OnPage(this->now, At(10), false, "k");
  CHECK(second.NextCall().hold == 0ms);
  CHECK(second.due() >= this->now + 600ms);
}

// A held read got no answer. Until a read is answered again, reads are not
// held, so that the next loss is detected sooner.
TEST(TopicFollower, Read_AfterFailure_NotHeld) {
  TopicFollowerOptions options = DefaultOptions();
  options.hold = 600ms;
  TopicFollower first(options);
  first.OnPage(this->now, At(10), false, "k");
  first.OnFailed(this->now, this->now);
  CHECK(first.NextCall().hold == 0ms);
  first.OnRecords(this->now, At(11), At(11));
  CHECK(first.NextCall().hold == 600ms);
}

TEST(TopicFollower, OnPage_ListingOfTwoPages_ReadsAtOnce) {
  TopicFollower fresh(DefaultOptions());
  fresh.OnPage(this->now, At(10), true, "m");
  CHECK(fresh.OnPage(this->now, At(12), false, "z"));
  CHECK(fresh.due() <= this->now);
}

TEST(TopicFollower, OnTrimmed_Read_ListsAgain) {
  this->follower.OnTrimmed(this->now);
  CHECK(this->follower.NextCall().kind == TopicCallKind::kListNewest);
  CHECK(this->follower.due() <= this->now);
}

TEST(TopicFollower, OnPeerUpdate_Contiguous_AppliedAndReadDelayed) {
  this->follower.OnRecords(this->now, At(10), At(10));
  this->now += 500ms;
  CHECK(this->follower.OnPeerUpdate(this->now, At(10), At(12)));
  CHECK_EQUAL(12, this->follower.position().offset);
  CHECK(this->follower.due() >= this->now + 600ms);
}

TEST(TopicFollower, OnPeerUpdate_NothingNew_DelaysRead) {
  this->now += 500ms;
  CHECK_FALSE(this->follower.OnPeerUpdate(this->now, At(10), At(10)));
  CHECK(this->follower.due() >= this->now + 600ms);
}

// Failure: two VMs read alternately, and a third receives updates of only one
// of them. If the updates left out what the other had sent, the third would see
// a gap and read for itself each time.
TEST(TopicFollower, Settled_OthersReadMeanwhile_AdvancesLater) {
  this->follower.OnRecords(this->now, At(12), At(12));
  this->now += 600ms;
  this->follower.OnPeerUpdate(this->now, At(10), At(15));
  CHECK_EQUAL(10, this->follower.settled().offset);
  for (int i = 0; i < 6; ++i) {
    this->now += 600ms;
    this->follower.OnRecords(this->now, At(15), At(15));
  }
  CHECK_EQUAL(15, this->follower.settled().offset);
}

// An update was lost, or its records did not fit into one message.
TEST(TopicFollower, OnPeerUpdate_WithGap_ReadsAtOnce) {
  this->follower.OnRecords(this->now, At(10), At(10));
  CHECK_FALSE(this->follower.OnPeerUpdate(this->now, At(11), At(12)));
  CHECK(this->follower.due() <= this->now);
  CHECK_EQUAL(10, this->follower.position().offset);
}

// Failure: the VM that reads for the fleet is paused between its read and its
// update. The update is then old and does not show that there is nothing newer.
TEST(TopicFollower, OnPeerUpdate_OlderThanKnown_DoesNotDelayRead) {
  this->follower.OnRecords(this->now, At(12), At(12));
  const TimePoint due = this->follower.due();
  this->now += 300ms;
  CHECK_FALSE(this->follower.OnPeerUpdate(this->now, At(9), At(11)));
  CHECK(this->follower.due() == due);
}

TEST(TopicFollower, OnFailed_Repeatedly_RetriesAtMost400MillisecondsApart) {
  for (int i = 0; i < 10; ++i) {
    this->follower.OnFailed(this->now, this->now);
  }
  CHECK(this->follower.due() <= this->now + 400ms);
  CHECK_FALSE(this->follower.available());
}

// Failure: the store is silent, and each call lasts until its timeout. The
// pause began only then, so a VM of high rank read once in three seconds, and
// its configuration was older than the bound when the store was back.
TEST(TopicFollower, OnFailed_CallTimedOut_PauseCountsFromItsBegin) {
  this->follower.SetRank(100);
  const TimePoint begun = this->now;
  this->follower.OnFailed(begun + 1200ms, begun);
  CHECK(this->follower.due() > begun + 1200ms);
  CHECK(this->follower.due() <= begun + 1800ms);
}

// Failure: after the store was away, the read of one topic succeeds, and
// another topic is read only after a pause that grows with the VM's rank.
TEST(TopicFollower, OnStoreAnswered_AfterFailure_ReadsSoon) {
  this->follower.SetRank(100);
  this->follower.OnFailed(this->now, this->now);
  CHECK(this->follower.due() >= this->now + 1s);
  this->follower.OnStoreAnswered(this->now + 50ms);
  CHECK(this->follower.due() <= this->now + 400ms);
  CHECK(this->follower.due() >= this->now + 50ms);
}

TEST(TopicFollower, OnStoreAnswered_NoFailure_KeepsDelay) {
  const TimePoint due = this->follower.due();
  this->follower.OnStoreAnswered(this->now);
  CHECK(this->follower.due() == due);
}

// Failure: the store has just recovered. A VM reads it and then waits for the
// longer silence, although the store stops to count as degraded much earlier.
TEST(TopicFollower, OnRecords_StoreRecovered_LongerSilenceEndsWithDegradation) {
  this->follower.SetRank(1000);
  this->follower.OnCallLatency(this->now, 150ms);
  this->now += 1500ms;
  this->follower.OnRecords(this->now, At(10), At(10));
  CHECK(this->follower.due() <= this->now + 1050ms);
}

namespace {

/// Simulated VMs that follow one topic and receive each other's updates
/// immediately.
class Readers {
 public:
  explicit Readers(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      this->vms.emplace_back(DefaultOptions());
      this->vms.back().OnPage(this->now, At(0), false, "");
      this->vms.back().SetRank(i);
      this->dead.push_back(false);
      this->last_fresh.push_back(this->now);
      this->answer_at.push_back(kIdle);
    }
  }

  void Run(Duration length) {
    for (const TimePoint end = this->now + length; this->now < end;
         this->now += 10ms) {
      for (size_t i = 0; i < this->vms.size(); ++i) {
        if (!this->dead[i]) {
          this->Step(i);
        }
      }
    }
  }

  /// Duration of a call, after which it is answered, or refused if the store is
  /// down.
  Duration call_time{0};
  bool is_down = false;
  size_t reads = 0;
  Duration longest_silence{0};
  std::vector<bool> dead;

 private:
  static constexpr TimePoint kIdle = TimePoint::max();

  void Step(size_t vm) {
    if (this->answer_at[vm] == kIdle && this->vms[vm].due() <= this->now) {
      ++this->reads;
      this->answer_at[vm] = this->now + this->call_time;
    }
    if (this->answer_at[vm] > this->now) {
      return;
    }
    this->answer_at[vm] = kIdle;
    if (this->is_down) {
      this->vms[vm].OnFailed(this->now, this->now - this->call_time);
    } else {
      this->vms[vm].OnCallLatency(this->now, this->call_time);
      this->SendUpdate(vm);
    }
  }

  void SendUpdate(size_t reader) {
    for (size_t i = 0; i < this->vms.size(); ++i) {
      if (this->dead[i]) {
        continue;
      }
      if (i == reader) {
        this->vms[i].OnRecords(this->now, At(0), At(0));
      } else {
        this->vms[i].OnPeerUpdate(this->now, At(0), At(0));
      }
      this->longest_silence =
          std::max(this->longest_silence, this->now - this->last_fresh[i]);
      this->last_fresh[i] = this->now;
    }
  }

  TimePoint now{1s};
  std::vector<TopicFollower> vms;
  std::vector<TimePoint> last_fresh;
  std::vector<TimePoint> answer_at;
};

}  // namespace

// A hundred VMs must load the store like one VM: 1.67 reads per second.
TEST(TopicFollower, Readers_NoFaults_OneReadsForAll) {
  Readers readers(100);
  readers.Run(10s);
  CHECK(readers.reads <= 117);
}

// Failure: the VM that reads for the fleet crashes, and so does the next one.
TEST(TopicFollower, Readers_FirstTwoDie_SilenceIsBounded) {
  Readers readers(14);
  readers.Run(2s);
  readers.dead[0] = true;
  readers.dead[1] = true;
  readers.Run(5s);
  CHECK(readers.longest_silence <= 1100ms);
}

// Failure: the store refuses every call for eight seconds, and each of a
// hundred VMs retries every 0.4 s for three topics: 800 refused calls per
// second, more than the store can serve when it comes back. The first VMs in
// the order suffice to detect that it is back.
TEST(TopicFollower, Readers_StoreDown_MostRetryRarely) {
  Readers readers(100);
  readers.Run(2s);
  readers.is_down = true;
  readers.reads = 0;
  readers.Run(8s);
  CHECK(readers.reads <= 640);
  readers.is_down = false;
  readers.longest_silence = 0s;
  readers.reads = 0;
  readers.Run(1s);
  CHECK(readers.longest_silence <= 10s);
  CHECK(readers.reads <= 60);
}

// Failure: the store takes sixty times as long as usual. The updates of the VM
// that reads for the fleet are late by that time, and all other VMs start to
// read, one after the other.
TEST(TopicFollower, Readers_StoreSlow_FewTakeOver) {
  Readers readers(100);
  readers.Run(2s);
  readers.call_time = 240ms;
  readers.Run(2s);
  readers.reads = 0;
  readers.longest_silence = 0s;
  readers.Run(8s);
  CHECK(readers.reads <= 30);
  CHECK(readers.longest_silence <= 1500ms);
}

// Failure: the store has recovered, and a while later the VM that reads for the
// fleet dies. By then all VMs must receive changes within the usual time again.
TEST(TopicFollower, Readers_FirstDiesAfterOutage_SilenceIsBounded) {
  Readers readers(14);
  readers.is_down = true;
  readers.Run(5s);
  readers.is_down = false;
  readers.Run(3s);
  readers.dead[0] = true;
  readers.longest_silence = 0s;
  readers.Run(3s);
  CHECK(readers.longest_silence <= 1100ms);
}

// Failure: each update repeats records until all VMs are known to have them, so
// each record goes to a hundred VMs four or five times.
TEST(TopicFollower, BeginUpdate_OneReader_SendsEachRecordTwice) {
  uint64_t records_sent = 0;
  for (uint64_t next = 20; next <= 1000; next += 10) {
    this->now += 600ms;
    this->follower.OnRecords(this->now, At(next), At(next));
    records_sent += next - this->follower.BeginUpdate().offset;
  }
  CHECK(records_sent <= 2 * 990);
}

// Failure: a VM receives updates from one reader; that reader dies, and another
// VM, which has not sent an update for long, takes over. Its first update must
// leave no gap.
TEST(TopicFollower, BeginUpdate_NextReader_LeavesNoGap) {
  TopicFollower receiver(DefaultOptions());
  TopicFollower next_reader(DefaultOptions());
  receiver.OnPage(this->now, At(10), false, "k");
  next_reader.OnPage(this->now, At(10), false, "k");
  uint64_t offset = 10;
  for (int i = 0; i < 20; ++i) {
    this->now += 600ms;
    offset += 10;
    this->follower.OnRecords(this->now, At(offset), At(offset));
    const LogPosition start = this->follower.BeginUpdate();
    CHECK(next_reader.OnPeerUpdate(this->now, start, At(offset)));
    CHECK(receiver.OnPeerUpdate(this->now, start, At(offset)));
  }
  this->now += 900ms;
  next_reader.OnRecords(this->now, At(offset + 10), At(offset + 10));
  CHECK(receiver.OnPeerUpdate(this->now, next_reader.BeginUpdate(),
                              At(offset + 10)));
}

// Every second update is lost. The next one still contains its records.
TEST(TopicFollower, BeginUpdate_OneUpdateLost_NextContainsIt) {
  TopicFollower receiver(DefaultOptions());
  receiver.OnPage(this->now, At(10), false, "k");
  for (uint64_t next = 20; next <= 400; next += 10) {
    this->now += 600ms;
    this->follower.OnRecords(this->now, At(next), At(next));
    const LogPosition start = this->follower.BeginUpdate();
    if (next % 20 == 0) {
      CHECK(receiver.OnPeerUpdate(this->now, start, At(next)));
    }
  }
}

// Failure: all relays read for themselves, and each one's update is forwarded
// by all others, so that a narrow link carries the same configuration ten
// times.
TEST(TopicFollower, BeginForward_SameRecordsFromManyReaders_ForwardedOnce) {
  TopicFollower receiver(DefaultOptions());
  receiver.OnPage(this->now, At(10), false, "k");
  CHECK(this->follower.BeginForward(At(10), At(12)) == At(10));
  CHECK(receiver.OnPeerUpdate(this->now, At(10), At(12)));
  for (int reader = 1; reader < 10; ++reader) {
    CHECK(this->follower.BeginForward(At(10), At(12)) == At(12));
    receiver.OnPeerUpdate(this->now, At(12), At(12));
  }
  CHECK(receiver.due() > this->now);
  CHECK_EQUAL(12, receiver.position().offset);
}

// The first copy was lost with its link: the next update, without records,
// makes the VM read.
TEST(TopicFollower, BeginForward_FirstCopyLost_ReceiverReadsAtOnce) {
  TopicFollower receiver(DefaultOptions());
  receiver.OnPage(this->now, At(10), false, "k");
  this->follower.BeginForward(At(10), At(12));
  const LogPosition first = this->follower.BeginForward(At(10), At(12));
  CHECK_FALSE(receiver.OnPeerUpdate(this->now, first, At(12)));
  CHECK(receiver.due() <= this->now);
}

TEST(TopicFollower, BeginForward_NewRecords_Forwarded) {
  CHECK(this->follower.BeginForward(At(10), At(12)) == At(10));
  CHECK(this->follower.BeginForward(At(11), At(13)) == At(11));
}

TEST_GROUP(BulkTopic) {
  TopicFollower follower{BulkOptions()};
  TimePoint now{1s};

  static TopicFollowerOptions BulkOptions() {
    TopicFollowerOptions options = DefaultOptions();
    options.is_bulk = true;
    return options;
  }

  void setup() override {
    this->follower.OnPage(this->now, At(10), false, "k");
    this->follower.SetRank(500);
    this->follower.SetPeers(true);
  }
};

// Failure: a thousand VMs receive no update for a moment, and each reads what
// it has missed, which is repeatedly more than the store can serve in time.
TEST(BulkTopic, NextCall_NoUpdates_AsksPeersBeforeStore) {
  this->now = this->follower.due();
  CHECK(this->follower.NextCall().kind == TopicCallKind::kRequestFromPeer);
  this->follower.OnPeerRequestSent(this->now);
  CHECK(this->follower.OnPeerUpdate(this->now, At(10), At(12)));
  CHECK_EQUAL(12, this->follower.position().offset);
  CHECK(this->follower.due() > this->now + 500ms);
}

// A VM that is cut off from its peers reads soon enough for every bound on
// staleness.
TEST(BulkTopic, NextCall_PeersSilent_ReadsSoon) {
  this->now = this->follower.due();
  while (this->follower.NextCall().kind == TopicCallKind::kRequestFromPeer) {
    this->follower.OnPeerRequestSent(this->now);
    this->now = this->follower.due();
  }
  CHECK(this->follower.NextCall().kind == TopicCallKind::kReadOn);
  CHECK(this->now <= TimePoint(1s) + DefaultOptions().max_silence + 400ms);
}

// VMs whose peers decline read one after the other, at a rate that does not
// depend on the size of the fleet.
TEST(BulkTopic, OnPeerDeclined_TwiceTheFleet_SameReadRate) {
  const auto due_of = [this](size_t rank) {
    TopicFollower vm(BulkOptions());
    vm.OnPage(this->now, At(10), false, "k");
    vm.SetRank(rank);
    vm.SetPeers(true);
    vm.OnPeerRequestSent(this->now);
    vm.OnPeerDeclined(this->now);
    return vm.due() - this->now;
  };
  CHECK(due_of(200) - due_of(100) == due_of(100) - due_of(0));
  CHECK(due_of(100) - due_of(0) >= 100 * 40ms);
}

TEST(BulkTopic, OnFailed_Read_ReducesThenDoublesLimit) {
  const size_t most = this->follower.NextCall().max_bytes;
  this->follower.OnFailed(this->now, this->now);
  const size_t least = this->follower.NextCall().max_bytes;
  CHECK(least < most);
  this->follower.OnRecords(this->now, At(11), At(11));
  CHECK_EQUAL(2 * least, this->follower.NextCall().max_bytes);
}

// Failure: the topic grows by more than one read returns, and the VM that reads
// for the fleet falls further and further behind.
TEST(BulkTopic, OnRecords_EndNotReached_ReadsAtOnce) {
  this->follower.OnRecords(this->now, At(20), At(50));
  CHECK(this->follower.due() == this->now);
  this->follower.OnRecords(this->now, At(50), At(50));
  CHECK(this->follower.due() > this->now);
}

// Failure: a listing of many pages restarts after each failed call, and never
// ends while the store is overloaded.
TEST(BulkTopic, Listing_CallFails_ContinuesAfterLastPage) {
  TopicFollower fresh(BulkOptions());
  fresh.OnPage(this->now, At(10), true, "m");
  fresh.OnFailed(this->now, this->now);
  STRCMP_EQUAL("m", fresh.NextCall().after.c_str());
  CHECK(fresh.OnPage(this->now, At(14), false, "z"));
  CHECK_EQUAL(10, fresh.position().offset);
}

TEST(BulkTopic, IsFresh_NoUpdateForLong_IsFalse) {
  CHECK(this->follower.is_fresh(this->now + 500ms));
  CHECK_FALSE(this->follower.is_fresh(this->now + 2s));
}

// Failure: the store is restored from a copy, and all VMs of a large fleet list
// all topics at once.
TEST(TopicFollower, OnEra_HigherRank_WaitsForAnUpdate) {
  this->follower.SetRank(20);
  this->follower.OnEra(this->now, 1);
  CHECK_FALSE(this->follower.is_gapless());
  CHECK(this->follower.due() >= this->now + 500ms);
  CHECK(this->follower.NextCall().kind == TopicCallKind::kListNewest);
  CHECK(this->follower.OnPeerUpdate(this->now, At(9), At(4, 1)));
  CHECK(this->follower.is_gapless());
  CHECK(this->follower.position() == At(4, 1));
  CHECK(this->follower.NextCall().kind == TopicCallKind::kReadOn);
}

TEST(TopicFollower, OnEra_FirstVm_ListsAtOnce) {
  this->follower.OnEra(this->now, 1);
  CHECK(this->follower.due() <= this->now);
  CHECK(this->follower.NextCall().kind == TopicCallKind::kListNewest);
}

// Failure: an update of the new era does not begin in the era before, so that
// each VM finds a gap and lists the topic.
TEST(TopicFollower, BeginUpdate_AfterListingANewEra_LeavesNoGap) {
  TopicFollower receiver(DefaultOptions());
  receiver.OnPage(this->now, At(10), false, "k");
  this->follower.OnEra(this->now, 1);
  this->follower.OnPage(this->now, At(4, 1), false, "k");
  receiver.OnEra(this->now, 1);
  CHECK(receiver.OnPeerUpdate(this->now, this->follower.BeginUpdate(),
                              this->follower.position()));
  CHECK(receiver.is_gapless());
}

// Failure: a listing of several pages ends after its first one, and the VM
// lacks the keys of the others.
TEST(TopicFollower, OnPage_NewEraOfTwoPages_ListsBoth) {
  this->follower.OnEra(this->now, 1);
  CHECK_FALSE(this->follower.OnPage(this->now, At(4, 1), true, "m"));
  CHECK(this->follower.NextCall().kind == TopicCallKind::kListNewest);
  STRCMP_EQUAL("m", this->follower.NextCall().after.c_str());
  CHECK(this->follower.OnPage(this->now, At(6, 1), false, "z"));
  CHECK(this->follower.NextCall().from == At(4, 1));
}

// Failure: the store is restored again while a VM lists it, and the VM goes on
// with a page of the other copy.
TEST(TopicFollower, OnEra_WhileListing_BeginsAgain) {
  this->follower.OnEra(this->now, 1);
  this->follower.OnPage(this->now, At(4, 1), true, "m");
  this->follower.OnEra(this->now, 2);
  STRCMP_EQUAL("", this->follower.NextCall().after.c_str());
  CHECK(this->follower.NextCall().kind == TopicCallKind::kListNewest);
}

// A VM that has not heard of the restore sends what it read before.
TEST(TopicFollower, OnPeerUpdate_OfEraBefore_IsNotTakenForNewer) {
  this->follower.OnEra(this->now, 1);
  this->follower.OnPage(this->now, At(4, 1), false, "k");
  CHECK_FALSE(this->follower.OnPeerUpdate(this->now, At(10), At(12)));
  CHECK(this->follower.position() == At(4, 1));
}
