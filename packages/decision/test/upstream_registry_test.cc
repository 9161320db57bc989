// Tests of the registry of upstreams: what lapses, what leaves, and addresses
// that are used again.

#include "basilsill/decision/upstream_registry.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::RegisteredUpstream;
using basilsill::TimePoint;
using basilsill::UpstreamBelief;
using basilsill::UpstreamRegistry;

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
  CHECK(news[0].belief == UpstreamBelief::kListed);
  CHECK(news[1].belief == UpstreamBelief::kLeaving);
  STRCMP_EQUAL("a", news[1].id.c_str());
  CHECK(news[2].belief == UpstreamBelief::kDoubted);
  this->Write(Entry("b", 81));
  this->Remove("a");
  const auto later = this->registry.TakeNews();
  CHECK_EQUAL(2, later.size());
  CHECK(later[0].belief == UpstreamBelief::kBack);
  CHECK(later[1].belief == UpstreamBelief::kGone);
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
