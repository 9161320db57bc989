// Tests of the upstream registry: expired entries, leaving upstreams, restarts
// and reused addresses.

#include "basilsill/decision/upstream_registry.h"

#include <map>
#include <utility>
#include <vector>

#include <pcg_random.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::EntryResult;
using basilsill::LogPosition;
using basilsill::RegisteredUpstream;
using basilsill::TimePoint;
using basilsill::UpstreamRegistry;
using basilsill::UpstreamTransitionKind;

TEST_GROUP(UpstreamRegistry) {
  UpstreamRegistry registry;
  TimePoint now{1s};
  uint64_t offset = 0;

  static RegisteredUpstream Entry(const std::string& id, uint16_t port = 80) {
    RegisteredUpstream entry;
    entry.id = id;
    entry.service = "banklevel";
    entry.data_centre = "lyulin";
    entry.endpoint = {"10.0.0.1", port};
    return entry;
  }

  static RegisteredUpstream Started(const std::string& id,
                                    std::chrono::milliseconds started,
                                    uint16_t port = 80) {
    RegisteredUpstream entry = Entry(id, port);
    entry.started = started;
    return entry;
  }

  /// @returns for each id the index of its last entry, which is of its latest
  /// start.
  static std::map<std::string, size_t> LastEntries(
      const std::vector<RegisteredUpstream>& entries) {
    std::map<std::string, size_t> last;
    for (size_t i = 0; i < entries.size(); ++i) {
      last[entries[i].id] = i;
    }
    return last;
  }

  /// @returns a registry that received `entries` in random order, some twice
  /// and some not at all; the last entry of each id always arrives.
  static UpstreamRegistry Deliver(
      const std::vector<RegisteredUpstream>& entries,
      const std::map<std::string, size_t>& last, pcg32& random) {
    std::vector<size_t> order;
    for (size_t i = 0; i < entries.size(); ++i) {
      const bool is_last = last.at(entries[i].id) == i;
      order.insert(order.end(), is_last ? 1 + random(2) : random(3), i);
    }
    for (size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[random(static_cast<uint32_t>(i))]);
    }
    UpstreamRegistry registry;
    for (const size_t place : order) {
      registry.OnEntry(TimePoint(1s), LogPosition(place), entries[place]);
    }
    return registry;
  }

  void Write(const RegisteredUpstream& entry) {
    this->registry.OnEntry(this->now, LogPosition(this->offset++), entry);
  }

  void Remove(const std::string& id) {
    this->registry.OnRemoved(this->now, LogPosition(this->offset++), id);
  }

  bool Has(const std::string& id) const {
    return this->registry.rows().contains(id);
  }

  void Advance(basilsill::Duration time) {
    this->now += time;
    this->registry.Tick(this->now);
  }
};

TEST(UpstreamRegistry, Removed_PlatformReachable_GoneAtOnce) {
  this->Write(Entry("a"));
  this->Remove("a");
  CHECK_FALSE(this->Has("a"));
}

TEST(UpstreamRegistry, Renewed_NothingElseChanged_KeepsVersion) {
  this->Write(Entry("a"));
  const uint64_t before = this->registry.version();
  this->Write(Entry("a"));
  CHECK_EQUAL(before, this->registry.version());
}

// Failure: the platform's store is down for longer than entries live without
// renewal. When it is back, all upstreams are removed from the registry and
// list themselves again within two seconds. Without deferred removals no
// request could be served in between.
TEST(UpstreamRegistry, Removed_PlatformJustBack_IsDeferred) {
  this->Write(Entry("a"));
  this->registry.OnPlatformLost();
  this->Advance(5s);
  this->registry.OnPlatformBack(this->now);
  this->Remove("a");
  this->Advance(2s);
  CHECK(this->Has("a"));
  this->Write(Entry("a"));
  this->Advance(2s);
  CHECK(this->Has("a"));
}

// As above, but the upstream has died meanwhile and does not list itself again.
TEST(UpstreamRegistry, Removed_PlatformBackAndNotListedAgain_Gone) {
  this->Write(Entry("a"));
  this->registry.OnPlatformLost();
  this->Advance(5s);
  this->registry.OnPlatformBack(this->now);
  this->Remove("a");
  this->Advance(3s);
  CHECK_FALSE(this->Has("a"));
}

// The removal of an upstream that announced its leaving is not deferred.
TEST(UpstreamRegistry, Removed_PlatformBackButWasLeaving_GoneAtOnce) {
  RegisteredUpstream leaving = Entry("a");
  leaving.leaving = true;
  this->Write(leaving);
  this->registry.OnPlatformLost();
  this->registry.OnPlatformBack(this->now);
  this->Remove("a");
  CHECK_FALSE(this->Has("a"));
}

// Failure: the store drops its history, including the removal of an upstream.
// After a new listing, an upstream that is not in it must be gone.
TEST(UpstreamRegistry, Listing_WithoutEntry_Gone) {
  this->Write(Entry("a"));
  this->Write(Entry("b", 81));
  this->registry.BeginListing();
  this->registry.OnEntry(this->now, LogPosition(1), Entry("b", 81));
  this->registry.EndListing(this->now);
  CHECK_FALSE(this->Has("a"));
  CHECK(this->Has("b"));
}

// A page of a listing can be older than a record that arrived meanwhile.
TEST(UpstreamRegistry, Entry_OlderThanKnown_Ignored) {
  RegisteredUpstream leaving = Entry("a");
  leaving.leaving = true;
  this->registry.OnEntry(this->now, LogPosition(7), leaving);
  this->registry.OnEntry(this->now, LogPosition(5), Entry("a"));
  CHECK(this->registry.rows().find("a")->second.entry.leaving);
}

// Failure: an instance crashes, and its address is given to an instance of
// another service, whose entry arrives before the removal of the old one.
// Requests for the old instance would go to the new one.
TEST(UpstreamRegistry, Entry_SameAddressAsOlderOne_ShadowsIt) {
  this->Write(Entry("old"));
  this->Write(Entry("new"));
  CHECK(this->registry.rows().find("old")->second.shadowed);
  CHECK_FALSE(this->registry.rows().find("new")->second.shadowed);
  this->Remove("new");
  CHECK_FALSE(this->registry.rows().find("old")->second.shadowed);
}

TEST(UpstreamRegistry, Cold_TimeOver_WarmWithoutNewEntry) {
  RegisteredUpstream entry = Entry("a");
  entry.cold_for = 3s;
  this->Write(entry);
  CHECK(this->registry.rows().find("a")->second.cold);
  this->Advance(3s);
  CHECK_FALSE(this->registry.rows().find("a")->second.cold);
}

// On-call staff look up in the log why an upstream got no work. Each change of
// its state is reported once: listed, leaving, removal deferred, gone.
TEST(UpstreamRegistry, Changes_AfterFirstListing_ReportedOnce) {
  this->registry.BeginListing();
  this->Write(Entry("a"));
  this->registry.EndListing(this->now);
  CHECK(this->registry.TakeTransitions().empty());
  this->Write(Entry("b", 81));
  RegisteredUpstream leaving = Entry("a");
  leaving.leaving = true;
  this->Write(leaving);
  this->Write(leaving);
  this->registry.OnPlatformLost();
  this->Remove("b");
  const auto transitions = this->registry.TakeTransitions();
  CHECK_EQUAL(3, transitions.size());
  CHECK(transitions[0].transition_kind == UpstreamTransitionKind::kListed);
  CHECK(transitions[1].transition_kind == UpstreamTransitionKind::kLeaving);
  STRCMP_EQUAL("a", transitions[1].id.c_str());
  CHECK(transitions[2].transition_kind ==
        UpstreamTransitionKind::kRemovalDeferred);
  this->Write(Entry("b", 81));
  this->Remove("a");
  const auto later = this->registry.TakeTransitions();
  CHECK_EQUAL(2, later.size());
  CHECK(later[0].transition_kind == UpstreamTransitionKind::kListedAgain);
  CHECK(later[1].transition_kind == UpstreamTransitionKind::kGone);
}

// An address was given to another upstream while this VM could not read; the VM
// finds both entries in one listing, ordered by key.
TEST(UpstreamRegistry, Listing_TwoAtOneAddress_ShadowsOlder) {
  this->registry.BeginListing();
  this->registry.OnEntry(this->now, LogPosition(7), Entry("a"));
  this->registry.OnEntry(this->now, LogPosition(3), Entry("b"));
  this->registry.EndListing(this->now);
  CHECK_FALSE(this->registry.rows().at("a").shadowed);
  CHECK(this->registry.rows().at("b").shadowed);
}

// Failure: an upstream announces its leaving, crashes, and restarts under its
// id. If the next start inherited the leaving state, it would get no work.
TEST(UpstreamRegistry, Entry_OfLaterStart_InheritsNothing) {
  this->Write(Started("a", 100ms));
  RegisteredUpstream leaving = Started("a", 100ms);
  leaving.leaving = true;
  leaving.cold_for = 5s;
  this->Write(leaving);
  this->registry.OnPlatformLost();
  this->Remove("a");
  this->Write(Started("a", 200ms));
  const UpstreamRegistry::Row& row = this->registry.rows().at("a");
  CHECK_FALSE(row.entry.leaving);
  CHECK_FALSE(row.cold);
  CHECK_FALSE(row.removal_pending);
  CHECK(row.entry.started == 200ms);
}

// Failure: the store carries out a write of the dead start seconds late, after
// the next start has listed itself at another address.
TEST(UpstreamRegistry, Entry_OfEarlierStart_Ignored) {
  this->Write(Started("a", 200ms, 81));
  this->Write(Started("a", 100ms, 80));
  CHECK_EQUAL(81, this->registry.rows().at("a").entry.endpoint.port);
  this->Remove("a");
  this->Write(Started("a", 100ms, 80));
  CHECK_FALSE(this->Has("a"));
  this->Write(Started("a", 300ms, 82));
  CHECK(this->Has("a"));
}

TEST(UpstreamRegistry, Entry_WithoutStartTime_KeepsKnownStart) {
  this->Write(Started("a", 200ms));
  const uint64_t before = this->registry.version();
  this->Write(Entry("a"));
  CHECK(this->registry.rows().at("a").entry.started == 200ms);
  CHECK_EQUAL(before, this->registry.version());
}

// Failure: an upstream restarts at another address, and the upstream that now
// has its old address stays shadowed.
TEST(UpstreamRegistry, Entry_OfLaterStartElsewhere_FreesAddress) {
  this->Write(Entry("other"));
  this->Write(Started("a", 100ms));
  CHECK(this->registry.rows().at("other").shadowed);
  this->Write(Started("a", 200ms, 81));
  CHECK_FALSE(this->registry.rows().at("other").shadowed);
}

TEST(UpstreamRegistry, StartedAgain_AfterFirstListing_ReportedOnce) {
  this->registry.BeginListing();
  this->Write(Started("a", 100ms));
  this->registry.EndListing(this->now);
  this->Write(Started("a", 200ms));
  this->Write(Started("a", 200ms));
  const auto transitions = this->registry.TakeTransitions();
  CHECK_EQUAL(1, transitions.size());
  CHECK(transitions[0].transition_kind ==
        UpstreamTransitionKind::kStartedAgain);
}

// Failure: another writer replaces a valid entry by an unreadable one. If the
// listing counted the upstream as gone, it would get no work until its next
// heartbeat.
TEST(UpstreamRegistry, Listing_EntryUnreadable_KeepsUpstream) {
  this->Write(Entry("a"));
  this->registry.BeginListing();
  this->registry.OnUnreadable("a");
  this->registry.OnUnreadable("never known");
  this->registry.EndListing(this->now);
  CHECK(this->Has("a"));
  CHECK_FALSE(this->Has("never known"));
}

// Two VMs receive entries of the same upstreams, which restart at random, in
// different orders, some twice or not at all. Once both have received the last
// entry of each upstream, their registries must agree.
TEST(UpstreamRegistry, RandomHistories_StartsInAnyOrder_RegistriesAgree) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    pcg32 random(seed);
    std::vector<RegisteredUpstream> entries;
    std::map<std::string, std::chrono::milliseconds> starts;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "i-" + std::to_string(random(4));
      std::chrono::milliseconds& start = starts[id];
      start += std::chrono::milliseconds(random(3) == 0 || start == 0ms);
      entries.push_back(Started(id, start, 80 + random(6)));
      entries.back().leaving = random(4) == 0;
    }
    const auto last = LastEntries(entries);
    UpstreamRegistry first = Deliver(entries, last, random);
    UpstreamRegistry second = Deliver(entries, last, random);
    CHECK_EQUAL(last.size(), first.rows().size());
    for (const auto& [id, place] : last) {
      const RegisteredUpstream& last_entry = entries[place];
      CHECK(first.rows().at(id).entry == last_entry);
      CHECK(second.rows().at(id).entry == last_entry);
      CHECK_EQUAL(first.rows().at(id).shadowed, second.rows().at(id).shadowed);
    }
  }
}

// Failure: the platform is restored from a copy in which an upstream that has
// left is still listed, and it gets requests again.
TEST(UpstreamRegistry, Entry_OfCopyBeforeItsRemoval_IsNotListedAgain) {
  this->registry.OnEntry(this->now, LogPosition(3), Entry("a"));
  this->registry.OnRemoved(this->now, LogPosition(7), "a");
  CHECK(this->registry.OnEntry(this->now, LogPosition(3), Entry("a")) ==
        EntryResult::kOutdated);
  CHECK_FALSE(this->Has("a"));
  this->registry.OnEntry(this->now, LogPosition(5, 1), Entry("a"));
  CHECK(this->Has("a"));
}

// Failure: a restored platform lacks upstreams that have registered since the
// copy was made, and they get no requests until they have registered again.
TEST(UpstreamRegistry, Restore_ListingWithoutEntry_KeptUntilWrittenAgain) {
  this->Write(Entry("a"));
  this->registry.OnPlatformRestored(this->now);
  this->registry.BeginListing();
  this->registry.EndListing(this->now);
  this->registry.Tick(this->now + 2s);
  CHECK(this->Has("a"));
  this->registry.Tick(this->now + 3s);
  CHECK_FALSE(this->Has("a"));
}
