// Tests of following a topic: listing, reading on, and one VM reading for all.

#include "basilsill/decision/topic_follower.h"

#include <array>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Duration;
using basilsill::TimePoint;
using basilsill::TopicCallKind;
using basilsill::TopicFollower;
using basilsill::TopicFollowerOptions;

namespace {

TopicFollowerOptions Shared() {
  TopicFollowerOptions options;
  options.interval = 600ms;
  options.max_silence = 1050ms;
  options.degraded_max_silence = 1800ms;
  return options;
}

}  // namespace

TEST_GROUP(TopicFollower) {
  TopicFollower follower{Shared()};
  TimePoint now{1s};

  void setup() override {
    this->follower.OnPage(this->now, 10, false, "k");
  }
};

TEST(TopicFollower, Page_More_GoesOnAfterItsLastKey) {
  TopicFollower fresh(Shared());
  CHECK_FALSE(fresh.OnPage(this->now, 10, true, "m"));
  CHECK(fresh.NextCall().kind == TopicCallKind::kListNewest);
  STRCMP_EQUAL("m", fresh.NextCall().after.c_str());
  CHECK_FALSE(fresh.is_fully_listed());
}

// A record is appended between the first page of a list and the last. Reading
// on from the end as the last page has it would miss it.
TEST(TopicFollower, Page_RecordsCameMeanwhile_ReadsOnFromTheFirstEnd) {
  TopicFollower fresh(Shared());
  fresh.OnPage(this->now, 10, true, "m");
  CHECK(fresh.OnPage(this->now, 12, false, "z"));
  CHECK(fresh.NextCall().kind == TopicCallKind::kReadOn);
  CHECK_EQUAL(10, fresh.NextCall().from);
}

// A VM starts: each call that it makes for nothing is paid for, and all VMs of
// a fleet may start at once.
TEST(TopicFollower, Page_WholeListInOne_NotReadOnAtOnce) {
  TopicFollower fresh(Shared());
  CHECK(fresh.OnPage(this->now, 10, false, "m"));
  CHECK(fresh.due() >= this->now + 600ms);
  CHECK(fresh.due() <= this->now + 1050ms);
}

// What the operator writes is to be in force soon, also if nobody reads at that
// moment. The store holds the read of the one VM that reads for all.
TEST(TopicFollower, Read_OfTheFirstVm_HeldWithoutABreak) {
  TopicFollowerOptions options = Shared();
  options.hold = 600ms;
  TopicFollower first(options);
  first.OnPage(this->now, 10, false, "k");
  CHECK(first.due() <= this->now);
  CHECK(first.NextCall().hold == 600ms);
  first.OnRecords(this->now, 11, 11);
  CHECK(first.due() <= this->now + 50ms);
}

TEST(TopicFollower, Read_OfAVmFurtherBack_NotHeld) {
  TopicFollowerOptions options = Shared();
  options.hold = 600ms;
  TopicFollower second(options);
  second.SetRank(1);
  second.OnPage(this->now, 10, false, "k");
  CHECK(second.NextCall().hold == 0ms);
  CHECK(second.due() >= this->now + 600ms);
}

// A held read got no answer. Until one is answered again, reads are short, so
// that the next loss shows sooner.
TEST(TopicFollower, Read_AfterAFailure_NotHeld) {
  TopicFollowerOptions options = Shared();
  options.hold = 600ms;
  TopicFollower first(options);
  first.OnPage(this->now, 10, false, "k");
  first.OnFailed(this->now);
  CHECK(first.NextCall().hold == 0ms);
  first.OnRecords(this->now, 11, 11);
  CHECK(first.NextCall().hold == 600ms);
}

TEST(TopicFollower, Page_WholeListInTwo_ReadOnAtOnce) {
  TopicFollower fresh(Shared());
  fresh.OnPage(this->now, 10, true, "m");
  CHECK(fresh.OnPage(this->now, 12, false, "z"));
  CHECK(fresh.due() <= this->now);
}

TEST(TopicFollower, Trimmed_Read_ListsAnew) {
  this->follower.OnTrimmed(this->now);
  CHECK(this->follower.NextCall().kind == TopicCallKind::kListNewest);
  CHECK(this->follower.due() <= this->now);
}

TEST(TopicFollower, News_Continuing_TakenAndReadPutOff) {
  this->follower.OnRecords(this->now, 10, 10);
  this->now += 500ms;
  CHECK(this->follower.OnNews(this->now, 10, 12));
  CHECK_EQUAL(12, this->follower.offset());
  CHECK(this->follower.due() >= this->now + 600ms);
}

TEST(TopicFollower, News_NothingNew_PutsReadOffToo) {
  this->now += 500ms;
  CHECK_FALSE(this->follower.OnNews(this->now, 10, 10));
  CHECK(this->follower.due() >= this->now + 600ms);
}

// Two VMs read by turns, and a third hears only the one of them. What the other
// told must not look like a gap to it, or it would read for itself each time.
TEST(TopicFollower, Settled_OthersReadMeanwhile_StaysBackForAWhile) {
  this->follower.OnRecords(this->now, 12, 12);
  this->now += 600ms;
  this->follower.OnNews(this->now, 10, 15);
  CHECK_EQUAL(10, this->follower.settled());
  for (int i = 0; i < 6; ++i) {
    this->now += 600ms;
    this->follower.OnRecords(this->now, 15, 15);
  }
  CHECK_EQUAL(15, this->follower.settled());
}

// A message between VMs was lost, or its records did not fit into one.
TEST(TopicFollower, News_WithAGap_ReadsAtOnce) {
  this->follower.OnRecords(this->now, 10, 10);
  CHECK_FALSE(this->follower.OnNews(this->now, 11, 12));
  CHECK(this->follower.due() <= this->now);
  CHECK_EQUAL(10, this->follower.offset());
}

// A VM that reads for all is paused between its read and its message. What it
// then says is old, and no sign that nothing newer is there.
TEST(TopicFollower, News_OlderThanKnown_NoSign) {
  this->follower.OnRecords(this->now, 12, 12);
  const TimePoint due = this->follower.due();
  this->now += 300ms;
  CHECK_FALSE(this->follower.OnNews(this->now, 9, 11));
  CHECK(this->follower.due() == due);
}

TEST(TopicFollower, Failed_Again_RetriesAtMost400MillisecondsApart) {
  for (int i = 0; i < 10; ++i) {
    this->follower.OnFailed(this->now);
  }
  CHECK(this->follower.due() <= this->now + 400ms);
  CHECK_FALSE(this->follower.available());
}

namespace {

/// VMs that follow one topic, and hear of each other's reads at once.
class Readers {
 public:
  explicit Readers(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      this->vms.emplace_back(Shared());
      this->vms.back().OnPage(this->now, 0, false, "");
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

  /// A call is answered so late; after it, or at once, it is refused if the
  /// store is down.
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
      this->vms[vm].OnFailed(this->now);
    } else {
      this->vms[vm].OnCallLatency(this->now, this->call_time);
      this->Tell(vm);
    }
  }

  void Tell(size_t reader) {
    for (size_t i = 0; i < this->vms.size(); ++i) {
      if (this->dead[i]) {
        continue;
      }
      if (i == reader) {
        this->vms[i].OnRecords(this->now, 0, 0);
      } else {
        this->vms[i].OnNews(this->now, 0, 0);
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

// One hundred VMs cost the store what one costs: 1.67 reads a second.
TEST(TopicFollower, Readers_AllWell_OneReadsForAll) {
  Readers readers(100);
  readers.Run(10s);
  CHECK(readers.reads <= 117);
}

// The VM that reads for all dies without a word, then the next one too.
TEST(TopicFollower, Readers_FirstTwoDie_NobodyIsInTheDarkForLong) {
  Readers readers(14);
  readers.Run(2s);
  readers.dead[0] = true;
  readers.dead[1] = true;
  readers.Run(5s);
  CHECK(readers.longest_silence <= 1100ms);
}

// The store refuses every call for eight seconds. Each of a hundred VMs tried
// again every 0.4 s, three topics each: 800 calls a second, all of them refused
// and paid for, and more than the store can take as it comes back. The first
// ones in the order are enough to find out when it does.
TEST(TopicFollower, Readers_StoreDown_MostTryRarely) {
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

// The store takes sixty times as long as usual. Who reads for all is late by
// that, and all the others lose patience one after the other.
TEST(TopicFollower, Readers_StoreSlow_FewStepIn) {
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

// Trouble is over, and a while later the VM that reads for all dies. By then
// all must hear of changes in time again.
TEST(TopicFollower, Readers_FirstDiesAfterTrouble_NobodyIsInTheDarkForLong) {
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

// An upstream's change reaches a hundred VMs over as many links. It was told
// again with each news until all were known to have it, four or five times.
TEST(TopicFollower, News_OfOneReader_TellEachRecordTwice) {
  uint64_t told = 0;
  for (uint64_t next = 20; next <= 1000; next += 10) {
    this->now += 600ms;
    this->follower.OnRecords(this->now, next, next);
    told += next - this->follower.BeginNews();
  }
  CHECK(told <= 2 * 990);
}

// A VM is told by one reader, then that one dies and another tells, which had
// not told anything for long.
TEST(TopicFollower, News_OfTheNextReader_LeaveNoGap) {
  TopicFollower listener(Shared());
  TopicFollower next_reader(Shared());
  listener.OnPage(this->now, 10, false, "k");
  next_reader.OnPage(this->now, 10, false, "k");
  uint64_t offset = 10;
  for (int i = 0; i < 20; ++i) {
    this->now += 600ms;
    offset += 10;
    this->follower.OnRecords(this->now, offset, offset);
    const uint64_t start = this->follower.BeginNews();
    CHECK(next_reader.OnNews(this->now, start, offset));
    CHECK(listener.OnNews(this->now, start, offset));
  }
  this->now += 900ms;
  next_reader.OnRecords(this->now, offset + 10, offset + 10);
  CHECK(listener.OnNews(this->now, next_reader.BeginNews(), offset + 10));
}

// One of the news is lost on its way. The next one still has what it told.
TEST(TopicFollower, News_OneIsLost_TheNextHasIt) {
  TopicFollower listener(Shared());
  listener.OnPage(this->now, 10, false, "k");
  for (uint64_t next = 20; next <= 400; next += 10) {
    this->now += 600ms;
    this->follower.OnRecords(this->now, next, next);
    const uint64_t start = this->follower.BeginNews();
    if (next % 20 == 0) {
      CHECK(listener.OnNews(this->now, start, next));
    }
  }
}

TEST_GROUP(BulkTopic) {
  TopicFollower follower{Bulk()};
  TimePoint now{1s};

  static TopicFollowerOptions Bulk() {
    TopicFollowerOptions options = Shared();
    options.is_bulk = true;
    return options;
  }

  void setup() override {
    this->follower.OnPage(this->now, 10, false, "k");
    this->follower.SetRank(500);
    this->follower.SetPeers(true);
  }
};

// A thousand VMs hear nothing for a moment, and each reads what it has missed:
// more than the store can give in time, again and again.
TEST(BulkTopic, NoNews_PeersAreAskedBeforeTheStore) {
  this->now = this->follower.due();
  CHECK(this->follower.NextCall().kind == TopicCallKind::kAskPeer);
  this->follower.OnAskedPeer(this->now);
  CHECK(this->follower.OnNews(this->now, 10, 12));
  CHECK_EQUAL(12, this->follower.offset());
  CHECK(this->follower.due() > this->now + 500ms);
}

// Cut off from its peers, a VM reads soon enough for every bound.
TEST(BulkTopic, PeersSayNothing_ReadsSoon) {
  this->now = this->follower.due();
  while (this->follower.NextCall().kind == TopicCallKind::kAskPeer) {
    this->follower.OnAskedPeer(this->now);
    this->now = this->follower.due();
  }
  CHECK(this->follower.NextCall().kind == TopicCallKind::kReadOn);
  CHECK(this->now <= TimePoint(1s) + Shared().max_silence + 400ms);
}

// Their peers can't tell them: they read one after the other, at a rate that
// the size of the fleet does not change.
TEST(BulkTopic, PeersDecline_TwiceTheFleet_ReadsASecondAreTheSame) {
  const auto due_of = [this](size_t rank) {
    TopicFollower vm(Bulk());
    vm.OnPage(this->now, 10, false, "k");
    vm.SetRank(rank);
    vm.SetPeers(true);
    vm.OnAskedPeer(this->now);
    vm.OnPeerDeclined(this->now);
    return vm.due() - this->now;
  };
  CHECK(due_of(200) - due_of(100) == due_of(100) - due_of(0));
  CHECK(due_of(100) - due_of(0) >= 100 * 40ms);
}

TEST(BulkTopic, FailedRead_TheNextBringsLessAndThenMore) {
  const size_t most = this->follower.NextCall().max_bytes;
  this->follower.OnFailed(this->now);
  const size_t least = this->follower.NextCall().max_bytes;
  CHECK(least < most);
  this->follower.OnRecords(this->now, 11, 11);
  CHECK_EQUAL(2 * least, this->follower.NextCall().max_bytes);
}

// The topic grows by more than a read brings. The VM that reads for all would
// fall back further and further.
TEST(BulkTopic, Read_NotToTheEnd_ReadOnAtOnce) {
  this->follower.OnRecords(this->now, 20, 50);
  CHECK(this->follower.due() == this->now);
  this->follower.OnRecords(this->now, 50, 50);
  CHECK(this->follower.due() > this->now);
}

// A list of many pages begins anew at each call that fails, and never ends
// while the store has much to do.
TEST(BulkTopic, List_ACallFails_GoesOnAfterTheLastPage) {
  TopicFollower fresh(Bulk());
  fresh.OnPage(this->now, 10, true, "m");
  fresh.OnFailed(this->now);
  STRCMP_EQUAL("m", fresh.NextCall().after.c_str());
  CHECK(fresh.OnPage(this->now, 14, false, "z"));
  CHECK_EQUAL(10, fresh.offset());
}

TEST(BulkTopic, IsFresh_NoWordForLong_IsNot) {
  CHECK(this->follower.is_fresh(this->now + 500ms));
  CHECK_FALSE(this->follower.is_fresh(this->now + 2s));
}
