#include "debug_state.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "resource_document.h"

namespace basilsill {
namespace {

namespace json = boost::json;

std::string NameOfVm(const RoutingView& view, VmHandle handle) {
  const VmRow* vm = FindVm(view, handle);
  return vm != nullptr ? vm->name : "";
}

json::object ShardObject(const RoutingView& view, const ShardRow& shard) {
  json::array owners;
  for (const VmHandle owner : shard.owners) {
    owners.emplace_back(NameOfVm(view, owner));
  }
  return {{"data_centre", view.data_centres.at(shard.data_centre.index).name},
          {"number", shard.number},
          {"upstreams", shard.upstreams.size()},
          {"owners", std::move(owners)}};
}

json::object ServiceObject(const RoutingView& view, const ServiceRow& service) {
  json::array shards;
  for (const ShardRow& shard : service.shards) {
    shards.emplace_back(ShardObject(view, shard));
  }
  return {{"name", service.name},
          {"upstreams", service.upstreams.size()},
          {"shards", std::move(shards)}};
}

json::array ServiceArray(const RoutingView& view) {
  json::array services;
  for (const auto& service : view.services) {
    if (service) {
      services.emplace_back(ServiceObject(view, *service));
    }
  }
  return services;
}

}  // namespace

std::string MakeDebugState(const Control& control, const LogSource& log) {
  json::object state{{"status", MakeStatusDocument(control, log)}};
  if (const RoutingViewPtr& view = control.view()) {
    state["services"] = ServiceArray(*view);
    state["teams"] = view->teams.size();
    state["rules"] = view->rule_order.size();
  }
  return json::serialize(state) + "\n";
}

}  // namespace basilsill
