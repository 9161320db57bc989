// Tests of the registry of upstreams: what lapses, what leaves, and addresses
// that are used again.

#include "basilsill/decision/upstream_registry.h"

#include <map>
#include <utility>
#include <vector>

#include <pcg_random.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
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

  /// @returns for each id the place of its last word, which is of its youngest
  /// start.
  static std::map<std::string, size_t> LastWords(
      const std::vector<RegisteredUpstream>& words) {
    std::map<std::string, size_t> last;
    for (size_t i = 0; i < words.size(); ++i) {
      last[words[i].id] = i;
    }
    return last;
  }

  /// Hears `words` in another order, some twice, some never but the last ones.
  static UpstreamRegistry Heard(const std::vector<RegisteredUpstream>& words,
                                const std::map<std::string, size_t>& last,
                                pcg32& random) {
    std::vector<size_t> order;
    for (size_t i = 0; i < words.size(); ++i) {
      const bool is_last = last.at(words[i].id) == i;
      order.insert(order.end(), is_last ? 1 + random(2) : random(3), i);
    }
    for (size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[random(static_cast<uint32_t>(i))]);
    }
    UpstreamRegistry registry;
    for (const size_t place : order) {
      registry.OnEntry(TimePoint(1s), place, words[place]);
    }
    return registry;
  }

  void Write(const RegisteredUpstream& entry) {
    this->registry.OnEntry(this->now, this->offset++, entry);
  }

  void Remove(const std::string& id) {
    this->registry.OnRemoved(this->now, this->offset++, id);
  }

  bool Has(const std::string& id) const {
    return this->registry.rows().contains(id);
  }

  void Advance(basilsill::Duration time) {
    this->now += time;
    this->registry.Tick(this->now);
  }
};

TEST(UpstreamRegistry, Removed_PlatformWell_GoneAtOnce) {
  this->Write(Entry("a"));
  this->Remove("a");
  CHECK_FALSE(this->Has("a"));
}

TEST(UpstreamRegistry, Renewed_NothingElseChanged_IsNoChange) {
  this->Write(Entry("a"));
  const uint64_t before = this->registry.version();
  this->Write(Entry("a"));
  CHECK_EQUAL(before, this->registry.version());
}

// The platform's store is down for longer than entries live without being
// renewed. When it is back, all upstreams are removed from the registry, and
// list themselves again within two seconds. In between nothing would be served.
TEST(UpstreamRegistry, Removed_PlatformJustBack_StaysForAWhile) {
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

// As above, but the upstream has died meanwhile and does not come back.
TEST(UpstreamRegistry, Removed_PlatformBackAndNotListedAgain_Gone) {
  this->Write(Entry("a"));
  this->registry.OnPlatformLost();
  this->Advance(5s);
  this->registry.OnPlatformBack(this->now);
  this->Remove("a");
  this->Advance(3s);
  CHECK_FALSE(this->Has("a"));
}

// An upstream that said it was leaving before it was removed has not lapsed.
TEST(UpstreamRegistry, Removed_PlatformBackButWasLeaving_GoneAtOnce) {
  RegisteredUpstream leaving = Entry("a");
  leaving.leaving = true;
  this->Write(leaving);
  this->registry.OnPlatformLost();
  this->registry.OnPlatformBack(this->now);
  this->Remove("a");
  CHECK_FALSE(this->Has("a"));
}

// The store drops its history, and with it the record that an upstream was
// removed. All is listed anew: what is not in the list is gone.
TEST(UpstreamRegistry, Listing_EntryNotInIt_Gone) {
  this->Write(Entry("a"));
  this->Write(Entry("b", 81));
  this->registry.BeginListing();
  this->registry.OnEntry(this->now, 1, Entry("b", 81));
  this->registry.EndListing(this->now);
  CHECK_FALSE(this->Has("a"));
  CHECK(this->Has("b"));
}

// A page of a list can be older than a record that came meanwhile.
TEST(UpstreamRegistry, Entry_OlderThanKnown_Ignored) {
  RegisteredUpstream leaving = Entry("a");
  leaving.leaving = true;
  this->registry.OnEntry(this->now, 7, leaving);
  this->registry.OnEntry(this->now, 5, Entry("a"));
  CHECK(this->registry.rows().find("a")->second.entry.leaving);
}

// An instance ends without a word, and its address goes to one of another
// service, whose entry comes first. Requests for the old one would go there.
TEST(UpstreamRegistry, Entry_SameAddressAsAnOlderOne_ShadowsIt) {
  this->Write(Entry("old"));
  this->Write(Entry("new"));
  CHECK(this->registry.rows().find("old")->second.shadowed);
  CHECK_FALSE(this->registry.rows().find("new")->second.shadowed);
  this->Remove("new");
  CHECK_FALSE(this->registry.rows().find("old")->second.shadowed);
}

TEST(UpstreamRegistry, Cold_TimeOver_WarmWithoutAWord) {
  RegisteredUpstream entry = Entry("a");
  entry.cold_for = 3s;
  this->Write(entry);
  CHECK(this->registry.rows().find("a")->second.cold);
  this->Advance(3s);
  CHECK_FALSE(this->registry.rows().find("a")->second.cold);
}

// On-call asks why an upstream got no work: the log has to say when it was
// thought to leave, doubted, or gone.
TEST(UpstreamRegistry, Changes_AfterTheFirstList_ToldOnce) {
  this->registry.BeginListing();
  this->Write(Entry("a"));
  this->registry.EndListing(this->now);
  CHECK(this->registry.TakeNews().empty());
  this->Write(Entry("b", 81));
  RegisteredUpstream leaving = Entry("a");
  leaving.leaving = true;
  this->Write(leaving);
  this->Write(leaving);
  this->registry.OnPlatformLost();
  this->Remove("b");
  const auto news = this->registry.TakeNews();
  CHECK_EQUAL(3, news.size());
  CHECK(news[0].transition_kind == UpstreamTransitionKind::kListed);
  CHECK(news[1].transition_kind == UpstreamTransitionKind::kLeaving);
  STRCMP_EQUAL("a", news[1].id.c_str());
  CHECK(news[2].transition_kind == UpstreamTransitionKind::kDoubted);
  this->Write(Entry("b", 81));
  this->Remove("a");
  const auto later = this->registry.TakeNews();
  CHECK_EQUAL(2, later.size());
  CHECK(later[0].transition_kind == UpstreamTransitionKind::kBack);
  CHECK(later[1].transition_kind == UpstreamTransitionKind::kGone);
}

// An address was given to another upstream while this VM could not read; it
// finds both entries in one list, in the order of their keys.
TEST(UpstreamRegistry, Listed_TwoAtOneAddress_TheNewerHasIt) {
  this->registry.BeginListing();
  this->registry.OnEntry(this->now, 7, Entry("a"));
  this->registry.OnEntry(this->now, 3, Entry("b"));
  this->registry.EndListing(this->now);
  CHECK_FALSE(this->registry.rows().at("a").shadowed);
  CHECK(this->registry.rows().at("b").shadowed);
}

// An upstream says that it leaves, crashes, and starts again under its id. The
// next start would get no work if it inherited the leaving of the one before.
TEST(UpstreamRegistry, Entry_OfAYoungerStart_HasNothingOfTheOlder) {
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
  CHECK_FALSE(row.lapsed);
  CHECK(row.entry.started == 200ms);
}

// The store carries out a write of the start that died seconds late, after the
// next start has listed itself at another address.
TEST(UpstreamRegistry, Entry_OfAnOlderStart_NeverComesBack) {
  this->Write(Started("a", 200ms, 81));
  this->Write(Started("a", 100ms, 80));
  CHECK_EQUAL(81, this->registry.rows().at("a").entry.endpoint.port);
  this->Remove("a");
  this->Write(Started("a", 100ms, 80));
  CHECK_FALSE(this->Has("a"));
  this->Write(Started("a", 300ms, 82));
  CHECK(this->Has("a"));
}

TEST(UpstreamRegistry, Entry_WithoutAStart_IsOfTheKnownOne) {
  this->Write(Started("a", 200ms));
  const uint64_t before = this->registry.version();
  this->Write(Entry("a"));
  CHECK(this->registry.rows().at("a").entry.started == 200ms);
  CHECK_EQUAL(before, this->registry.version());
}

// The upstream at the address that a start has left must not stay shadowed by
// it.
TEST(UpstreamRegistry, Entry_OfAYoungerStartElsewhere_FreesTheAddress) {
  this->Write(Entry("other"));
  this->Write(Started("a", 100ms));
  CHECK(this->registry.rows().at("other").shadowed);
  this->Write(Started("a", 200ms, 81));
  CHECK_FALSE(this->registry.rows().at("other").shadowed);
}

TEST(UpstreamRegistry, StartedAgain_AfterTheFirstList_ToldOnce) {
  this->registry.BeginListing();
  this->Write(Started("a", 100ms));
  this->registry.EndListing(this->now);
  this->Write(Started("a", 200ms));
  this->Write(Started("a", 200ms));
  const auto news = this->registry.TakeNews();
  CHECK_EQUAL(1, news.size());
  CHECK(news[0].transition_kind == UpstreamTransitionKind::kStartedAgain);
}

// Another writer puts something unreadable in the place of a good entry. The
// upstream lives, and would be without work until its next heartbeat if the
// list counted it as gone.
TEST(UpstreamRegistry, Listing_EntryUnreadable_IsNotGone) {
  this->Write(Entry("a"));
  this->registry.BeginListing();
  this->registry.OnUnreadable("a");
  this->registry.OnUnreadable("never known");
  this->registry.EndListing(this->now);
  CHECK(this->Has("a"));
  CHECK_FALSE(this->Has("never known"));
}

// Two VMs hear of the same upstreams, that start again at random, in other
// orders and some things twice or not at all. Once both have heard the last
// word of each, they believe the same.
TEST(UpstreamRegistry, Histories_StartsInAnyOrder_EndWithTheSameBelief) {
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    pcg32 random(seed);
    std::vector<RegisteredUpstream> words;
    std::map<std::string, std::chrono::milliseconds> starts;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "i-" + std::to_string(random(4));
      std::chrono::milliseconds& start = starts[id];
      start += std::chrono::milliseconds(random(3) == 0 || start == 0ms);
      words.push_back(Started(id, start, 80 + random(6)));
      words.back().leaving = random(4) == 0;
    }
    const auto last = LastWords(words);
    UpstreamRegistry first = Heard(words, last, random);
    UpstreamRegistry second = Heard(words, last, random);
    CHECK_EQUAL(last.size(), first.rows().size());
    for (const auto& [id, place] : last) {
      const RegisteredUpstream& word = words[place];
      CHECK(first.rows().at(id).entry == word);
      CHECK(second.rows().at(id).entry == word);
      CHECK_EQUAL(first.rows().at(id).shadowed, second.rows().at(id).shadowed);
    }
  }
}
