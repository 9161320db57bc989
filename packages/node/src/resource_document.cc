#include "resource_document.h"

#include <ctime>
#include <iomanip>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

namespace basilsill {
namespace {

namespace json = boost::json;

std::string ToIsoTime(WallTime time) {
  const std::time_t seconds = std::chrono::system_clock::to_time_t(
      std::chrono::time_point_cast<std::chrono::system_clock::duration>(time));
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

std::string_view StateName(VmState state) {
  switch (state) {
    case VmState::kLive:
      return "live";
    case VmState::kSuspected:
      return "suspected";
    default:
      return "leaving";
  }
}

json::object MakeResourceStatus(const Control& control,
                                const ResourceEntry& entry) {
  const InForceStatus in_force = control.in_force().StatusOf(entry.version);
  json::array on;
  for (const VmHandle vm : in_force.on) {
    on.emplace_back(control.membership().rows().at(vm.index).name);
  }
  return {{"accepted_at", ToIsoTime(entry.made_at)},
          {"in_force_on", std::move(on)},
          {"in_force", in_force.everywhere}};
}

}  // namespace

std::string PathNameOf(ResourceKind kind) {
  const std::string name(NameOf(kind));
  return kind == ResourceKind::kLimits ? name : name + "s";
}

std::optional<ResourceKind> KindOfPath(std::string_view name) {
  for (int i = 0; i < static_cast<int>(ResourceKind::kCount); ++i) {
    const auto kind = static_cast<ResourceKind>(i);
    if (PathNameOf(kind) == name) {
      return kind;
    }
  }
  return std::nullopt;
}

json::object MakeResourceDocument(const Control& control,
                                  const ResourceId& id,
                                  const ResourceEntry& entry) {
  return {{"kind", PathNameOf(id.kind)},
          {"name", id.name},
          {"version", entry.version},
          {"body", json::parse(WriteResource(*entry.resource))},
          {"status", MakeResourceStatus(control, entry)}};
}

json::object MakeStatusDocument(const Control& control,
                                const LogSource& source) {
  const ConfigurationFollower& follower = source.follower();
  const RoutingViewPtr& view = control.view();
  json::array vms;
  for (const VmRow& row : control.membership().rows()) {
    if (!IsValid(row.handle)) {
      continue;
    }
    vms.push_back(json::object{{"name", row.name},
                               {"state", StateName(row.state)},
                               {"incarnation", row.incarnation}});
  }
  const std::optional<uint64_t> everywhere = control.in_force().everywhere();
  json::object log{{"offset", follower.state().next_offset()},
                   {"end", follower.log_end()},
                   {"standing", NameOf(follower.standing())}};
  json::object status{{"vm", control.vm_name()},
                      {"ready", control.ready()},
                      {"view", view ? view->version : 0},
                      {"log", std::move(log)},
                      {"vms", std::move(vms)}};
  if (everywhere) {
    status["in_force_everywhere"] = *everywhere;
  }
  return status;
}

}  // namespace basilsill
