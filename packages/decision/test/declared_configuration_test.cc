// Tests of the state that is made of a configuration declared whole.

#include "basilsill/decision/declared_configuration.h"

#include "basilsill/decision/view_builder.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::ConfigurationState;
using basilsill::DeclaredConfiguration;
using basilsill::DeclaredRoute;
using basilsill::FailureKind;
using basilsill::RegisteredUpstream;
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
    this->registry.OnEntry(TimePoint(1s), port, entry);
  }

  RoutingViewPtr Build() {
    const ConfigurationState state =
        MakeDeclaredState(this->configuration, this->registry);
    return this->builder->Build(state, {this->vms, this->data_centres, {0, 0}});
  }

  const RuleRow* Match(const RoutingViewPtr& view, const std::string& path) {
    basilsill::RequestHead head;
    head.method = "GET";
    head.host = "levels.test";
    head.path = path;
    return basilsill::MatchRule(*view, head);
  }
};

TEST(DeclaredConfiguration, Build_Routes_CarryWhatTheyDeclare) {
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

// An upstream restarts at its old address. What was learnt of the first one,
// its pauses and its load, must not stick to the second.
TEST(DeclaredConfiguration, Build_SameAddressOtherId_IsAnotherUpstream) {
  this->AddUpstream("a", 80);
  const auto before = this->Build()->services[0]->upstreams.at(0);
  this->registry.OnRemoved(TimePoint(2s), 81, "a");
  RegisteredUpstream again;
  again.id = "b";
  again.service = "banklevel";
  again.data_centre = "lyulin";
  again.endpoint = before.endpoint;
  this->registry.OnEntry(TimePoint(2s), 82, again);
  const RoutingViewPtr view = this->Build();
  const auto& after = view->services[0]->upstreams.at(0);
  CHECK(before.endpoint == after.endpoint);
  CHECK_FALSE(before.handle == after.handle);
  CHECK(IdOf(*view->services[0], after) == "b");
}

TEST(DeclaredConfiguration, Build_SomethingElseChanged_KeepsHandles) {
  this->AddUpstream("a", 80);
  const auto before = this->Build()->services[0]->upstreams.at(0).handle;
  this->AddUpstream("b", 81);
  this->configuration.version = 9;
  const auto& row = *this->Build()->services[0];
  CHECK_EQUAL(2, row.upstreams.size());
  CHECK(row.upstreams[0].handle == before);
}

TEST(DeclaredConfiguration, Check_RouteToNoService_SaysSo) {
  this->configuration.routes[0].services = {{"nothing", 1}};
  const auto failures = CheckDeclared(this->configuration);
  CHECK_EQUAL(1, failures.size());
  CHECK(failures[0].kind == FailureKind::kDanglingReference);
}
