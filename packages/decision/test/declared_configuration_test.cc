// Tests of the state that is built from a declared configuration.

#include "basilsill/decision/declared_configuration.h"

#include <string>

#include <pcg_random.hpp>

#include "basilsill/decision/api_keys.h"
#include "basilsill/decision/view_builder.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::DataCentreDrains;
using basilsill::DeclaredConfiguration;
using basilsill::DeclaredRoute;
using basilsill::DeclaredSources;
using basilsill::DeclaredState;
using basilsill::FailureKind;
using basilsill::LogPosition;
using basilsill::RegisteredUpstream;
using basilsill::ResourceKind;
using basilsill::RouteKind;
using basilsill::RoutingViewPtr;
using basilsill::RuleRow;
using basilsill::TimePoint;
using basilsill::TrafficClass;
using basilsill::UpstreamRegistry;
using basilsill::ViewBuilder;

TEST_GROUP(DeclaredConfiguration) {
  DeclaredConfiguration configuration;
  UpstreamRegistry registry;
  DataCentreDrains drains;
  std::unique_ptr<ViewBuilder> builder = ViewBuilder::Create();
  std::vector<basilsill::VmRow> vms;
  std::vector<basilsill::DataCentreRow> data_centres{{{0, 0}, "lyulin"}};

  void setup() override {
    this->configuration.version = 7;
    this->configuration.services = {{"banklevel", "/health"},
                                    {"pickupbook", ""}};
    this->AddRoute("levels", "/levels/", RouteKind::kSafe, 2);
    this->AddRoute("pickups", "/pickups/", RouteKind::kUnsafe, 1);
    basilsill::VmRow vm;
    vm.handle = {0, 0};
    vm.name = "vm";
    vm.data_centre = {0, 0};
    this->vms.push_back(vm);
  }

  DeclaredRoute& AddRoute(const std::string& name, const std::string& prefix,
                          RouteKind kind, uint32_t priority) {
    DeclaredRoute route;
    route.name = name;
    route.host = "levels.test";
    route.path_prefix = prefix;
    route.kind = kind;
    route.services = {{"banklevel", 1}};
    route.timeout = 1200ms;
    route.target_latency = 400ms;
    route.max_attempts = 2;
    route.priority = priority;
    this->configuration.routes.push_back(route);
    return this->configuration.routes.back();
  }

  void AddUpstream(const std::string& id, uint16_t port) {
    RegisteredUpstream entry;
    entry.id = id;
    entry.service = "banklevel";
    entry.data_centre = "lyulin";
    entry.endpoint = {"10.0.0.1", port};
    entry.slots = 2;
    this->registry.OnEntry(TimePoint(1s), LogPosition(port), entry);
  }

  DeclaredSources Sources() {
    return {this->configuration, this->registry, this->drains};
  }

  RoutingViewPtr Build() {
    DeclaredState declared;
    declared.Update(this->Sources());
    return this->builder->Build(declared.state(),
                                {this->vms, this->data_centres, {0, 0}});
  }

  const RuleRow* Match(const RoutingViewPtr& view, const std::string& path) {
    basilsill::RequestHead head;
    head.method = "GET";
    head.host = "levels.test";
    head.path = path;
    return basilsill::MatchRule(*view, head);
  }
};

TEST(DeclaredConfiguration, Build_Routes_HaveDeclaredProperties) {
  const RoutingViewPtr view = this->Build();
  const RuleRow* levels = this->Match(view, "/levels/7");
  CHECK(levels != nullptr);
  CHECK(levels->idempotent);
  CHECK(levels->timeout == 1200ms);
  CHECK(levels->target_latency == 400ms);
  CHECK_EQUAL(2, levels->max_attempts);
  CHECK(levels->traffic_class == TrafficClass::kOrdinary);
  const RuleRow* pickups = this->Match(view, "/pickups/7");
  CHECK_FALSE(pickups->idempotent);
  CHECK(pickups->traffic_class == TrafficClass::kUrgent);
}

TEST(DeclaredConfiguration, Match_TwoPrefixes_LongestWins) {
  this->AddRoute("deep", "/levels/deep/", RouteKind::kSafe, 2);
  const RoutingViewPtr view = this->Build();
  STRCMP_EQUAL("deep", this->Match(view, "/levels/deep/1")->name.c_str());
  STRCMP_EQUAL("levels", this->Match(view, "/levels/1")->name.c_str());
  CHECK(this->Match(view, "/level") == nullptr);
}

// Failure: an upstream is replaced by another one at the same address.
// Pauses and load recorded for the first must not apply to the second.
TEST(DeclaredConfiguration, Build_SameAddressOtherId_GetsNewHandle) {
  this->AddUpstream("a", 80);
  const auto before = this->Build()->services[0]->upstreams.at(0);
  this->registry.OnRemoved(TimePoint(2s), LogPosition(81), "a");
  RegisteredUpstream again;
  again.id = "b";
  again.service = "banklevel";
  again.data_centre = "lyulin";
  again.endpoint = before.endpoint;
  this->registry.OnEntry(TimePoint(2s), LogPosition(82), again);
  const RoutingViewPtr view = this->Build();
  const auto& after = view->services[0]->upstreams.at(0);
  CHECK(before.endpoint == after.endpoint);
  CHECK_FALSE(before.handle == after.handle);
  CHECK(IncarnationOf(*view->services[0], after).id == "b");
}

TEST(DeclaredConfiguration, Build_OtherUpstreamAdded_KeepsHandles) {
  this->AddUpstream("a", 80);
  const auto before = this->Build()->services[0]->upstreams.at(0).handle;
  this->AddUpstream("b", 81);
  this->configuration.version = 9;
  const auto& row = *this->Build()->services[0];
  CHECK_EQUAL(2, row.upstreams.size());
  CHECK(row.upstreams[0].handle == before);
}

TEST(DeclaredConfiguration,
     Check_RouteToUnknownService_ReportsDanglingReference) {
  this->configuration.routes[0].services = {{"nothing", 1}};
  const auto failures = CheckDeclared(this->configuration);
  CHECK_EQUAL(1, failures.size());
  CHECK(failures[0].kind == FailureKind::kDanglingReference);
}

namespace {

// The operator drains a data centre and then ends the drain. The upstreams
// there must reflect it, including one that was listed in between.
TEST(DeclaredConfiguration, Drains_OfDataCentre_ApplyToItsUpstreams) {
  DeclaredState declared;
  this->AddUpstream("i-1", 1);
  declared.Update(this->Sources());
  this->drains.OnRecord(LogPosition(3), "lyulin", true);
  CHECK_FALSE(declared.IsCurrent(this->Sources()));
  this->AddUpstream("i-2", 2);
  declared.Update(this->Sources());
  const auto build = [&] {
    return this->builder->Build(declared.state(),
                                {this->vms, this->data_centres, {0, 0}});
  };
  RoutingViewPtr view = build();
  CHECK(view->data_centres[0].drained);
  CHECK(view->services[0]->shards[0].drained);
  CHECK(view->services[0]->upstreams[0].drained);
  CHECK(view->services[0]->upstreams[1].drained);
  this->drains.OnRecord(LogPosition(4), "lyulin", false);
  declared.Update(this->Sources());
  view = build();
  CHECK_FALSE(view->data_centres[0].drained);
  CHECK_FALSE(view->services[0]->shards[0].drained);
  CHECK_FALSE(view->services[0]->upstreams[0].drained);
}

// Failure: a new version of the configuration arrives while a data centre is
// drained, and the rebuilt state loses the drain.
TEST(DeclaredConfiguration, Drains_NewConfiguration_StayInForce) {
  DeclaredState declared;
  this->AddUpstream("i-1", 1);
  this->drains.OnRecord(LogPosition(3), "lyulin", true);
  declared.Update(this->Sources());
  this->configuration.version += 1;
  declared.Update(this->Sources());
  const RoutingViewPtr view = this->builder->Build(
      declared.state(), {this->vms, this->data_centres, {0, 0}});
  CHECK(view->services[0]->upstreams[0].drained);
}

/// @returns all upstream sets as text, without their versions.
std::string SetsOf(const DeclaredState& declared) {
  std::string text;
  for (const auto& [name, entry] :
       declared.state().Table(ResourceKind::kUpstreamSet)) {
    const auto& set =
        basilsill::ConfigurationState::SpecOf<basilsill::UpstreamSetSpec>(
            entry);
    text += name + ":";
    for (size_t i = 0; i < set.instances.size(); ++i) {
      const basilsill::UpstreamIncarnation& incarnation = set.incarnations[i];
      text += " " + incarnation.id + "/" +
              std::to_string(incarnation.started.count()) + "@" +
              ToString(set.instances[i].endpoint) +
              (set.instances[i].leaving ? "-" : "+");
    }
    text += "\n";
  }
  return text;
}

}  // namespace

// Entries are added, changed, moved and removed at random. The state updated
// step by step must equal one built from scratch.
TEST(DeclaredConfiguration, Update_StepByStep_EqualsFullBuild) {
  DeclaredState declared;
  pcg32 random(1);
  for (uint64_t step = 1; step < 2000; ++step) {
    RegisteredUpstream entry;
    entry.id = "i-" + std::to_string(random() % 20);
    entry.service = random() % 2 == 0 ? "banklevel" : "pickupbook";
    entry.data_centre = random() % 2 == 0 ? "lyulin" : "druzhba";
    entry.endpoint = {"10.0.0.1", static_cast<uint16_t>(random() % 15)};
    entry.leaving = random() % 4 == 0;
    entry.started = std::chrono::milliseconds(random() % 5);
    if (random() % 3 == 0) {
      this->registry.OnRemoved(TimePoint(1s), LogPosition(step), entry.id);
    } else {
      this->registry.OnEntry(TimePoint(1s), LogPosition(step), entry);
    }
    this->configuration.version += random() % 50 == 0 ? 1 : 0;
    if (random() % 3 == 0) {
      declared.Update(this->Sources());
      UpstreamRegistry registry_copy = this->registry;
      DeclaredState full_build;
      full_build.Update({this->configuration, registry_copy, this->drains});
      STRCMP_EQUAL(SetsOf(full_build).c_str(), SetsOf(declared).c_str());
    }
  }
}

// One of two sets changes. The version of the other must stay, so that views
// share the unchanged set.
TEST(DeclaredConfiguration, Update_OneUpstreamChanged_OtherSetsKeepVersion) {
  DeclaredState declared;
  this->AddUpstream("a", 1);
  RegisteredUpstream other;
  other.id = "b";
  other.service = "pickupbook";
  other.data_centre = "lyulin";
  other.endpoint = {"10.0.0.2", 1};
  this->registry.OnEntry(TimePoint(1s), LogPosition(5), other);
  declared.Update(this->Sources());
  const auto version = [&declared](const std::string& name) {
    return declared.state().Find({ResourceKind::kUpstreamSet, name})->version;
  };
  const uint64_t before = version("pickupbook in lyulin");
  const uint64_t changed = version("banklevel in lyulin");
  this->AddUpstream("c", 3);
  declared.Update(this->Sources());
  CHECK_EQUAL(before, version("pickupbook in lyulin"));
  CHECK(changed != version("banklevel in lyulin"));
}

// Failure: another VM sends all upstreams while this VM's own listing is in
// flight. The answer of that listing contains a later upstream and ends the
// listing a second time, which must not remove it.
TEST(DeclaredConfiguration, Listing_EndedTwice_KeepsLaterUpstream) {
  this->registry.BeginListing();
  this->AddUpstream("i-1", 1);
  this->registry.EndListing(TimePoint(1s));
  this->AddUpstream("i-2", 2);
  this->registry.EndListing(TimePoint(1s));
  CHECK_EQUAL(2, this->registry.rows().size());
}

// Failure: VMs announce each change of an upstream to all their peers. They
// must announce only new configurations.
TEST(DeclaredConfiguration, AppliesMore_UpstreamChanged_IsFalse) {
  DeclaredState declared;
  const auto build = [&] {
    declared.Update(this->Sources());
    return this->builder->Build(declared.state(),
                                {this->vms, this->data_centres, {0, 0}});
  };
  this->AddUpstream("i-1", 1);
  const RoutingViewPtr first = build();
  CHECK(AppliedOffsetChanged(nullptr, *first));
  this->AddUpstream("i-2", 2);
  const RoutingViewPtr second = build();
  CHECK_FALSE(AppliedOffsetChanged(first.get(), *second));
  ++this->configuration.version;
  CHECK(AppliedOffsetChanged(second.get(), *build()));
}

TEST(DeclaredConfiguration, Build_Teams_HaveKeysQuotasAndClasses) {
  basilsill::DeclaredTeam team;
  team.name = "drivers";
  team.api_keys = {basilsill::DigestApiKey("k-1")};
  team.priority = 2;
  team.requests_per_second = 30;
  team.burst = 10;
  this->configuration.teams = {team, {"urgent", {}, 0, 0, 0}};
  this->configuration.routes[0].requires_api_key = true;
  const RoutingViewPtr view = this->Build();
  const basilsill::TeamHandle found =
      view->api_keys->Find(basilsill::DigestApiKey("k-1"));
  const basilsill::TeamRow* row = FindTeam(*view, found);
  CHECK(row != nullptr && row->name == "drivers");
  DOUBLES_EQUAL(30, row->limits.requests_per_second, 0.001);
  CHECK(row->traffic_class == TrafficClass::kOrdinary);
  CHECK(view->rules[0].requires_api_key != view->rules[1].requires_api_key);
}

TEST(DeclaredConfiguration, Check_DuplicateTeamOrKey_Fails) {
  const auto key = basilsill::DigestApiKey("k-1");
  this->configuration.teams = {{"a", {key}, {}, 0, 0}, {"b", {key}, {}, 0, 0}};
  CHECK_EQUAL(1, CheckDeclared(this->configuration).size());
  this->configuration.teams = {{"a", {}, {}, 0, 0}, {"a", {}, {}, 0, 0}};
  CHECK_EQUAL(1, CheckDeclared(this->configuration).size());
}
