// Writes the JSON form of resources.

#include <string_view>
#include <utility>
#include <variant>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "basilsill/decision/resource.h"
#include "resource_json.h"

namespace basilsill {
namespace {

namespace json = boost::json;

json::object WriteSpec(const TeamSpec& spec) {
  const TeamLimits& team = spec.limits;
  json::object object{{"limits",
                       {{"concurrency", team.concurrency},
                        {"queue", team.queue},
                        {"requests_per_second", team.requests_per_second},
                        {"burst", team.burst},
                        {"weight", team.weight}}}};
  json::array keys;
  for (const ApiKeyDigest& digest : spec.api_keys) {
    keys.emplace_back(ToHex(digest));
  }
  object["api_keys"] = std::move(keys);
  if (spec.traffic_class) {
    object["class"] = NameOf(*spec.traffic_class);
  }
  return object;
}

json::object WriteSpec(const ServiceSpec& spec) {
  return {{"team", spec.team},
          {"cold_time_ms", spec.cold.time.count()},
          {"cold_requests_per_second", spec.cold.requests_per_second}};
}

json::object WriteSpec(const UpstreamSetSpec& spec) {
  json::array instances;
  for (const InstanceSpec& instance : spec.instances) {
    instances.push_back({{"address", instance.endpoint.address},
                         {"port", instance.endpoint.port},
                         {"slots", instance.slots},
                         {"leaving", instance.leaving}});
  }
  return {{"service", spec.service},
          {"data_centre", spec.data_centre},
          {"instances", std::move(instances)}};
}

json::object WriteMatch(const RuleMatch& match) {
  json::array methods(match.methods.begin(), match.methods.end());
  json::array headers;
  for (const HeaderMatch& header : match.headers) {
    headers.push_back({{"name", header.name}, {"value", header.value}});
  }
  return {{"host", match.host},
          {"path_prefix", match.path_prefix},
          {"methods", std::move(methods)},
          {"headers", std::move(headers)}};
}

json::object WriteSpec(const RuleSpec& spec) {
  return {{"service", spec.service},
          {"match", WriteMatch(spec.match)},
          {"class", NameOf(spec.traffic_class)},
          {"once", spec.once},
          {"idempotent", spec.idempotent},
          {"hedge", spec.hedge},
          {"requires_api_key", spec.requires_api_key},
          {"deadline_ms", spec.deadline.count()}};
}

json::object WriteSpec(const LimitsSpec& spec) {
  json::object object;
  const auto add = [&object](std::string_view name,
                             const std::optional<double>& ratio) {
    if (ratio) {
      object[name] = *ratio;
    }
  };
  add("retry_ratio", spec.retry_ratio);
  add("hedge_ratio", spec.hedge_ratio);
  add("bulk_slot_share", spec.bulk_slot_share);
  return object;
}

json::object WriteSpec(const DataCentreSpec& spec) {
  return {{"drained", spec.drained}};
}

}  // namespace

json::object ToJson(const Resource& resource) {
  json::object object = std::visit(
      [](const auto& spec) { return WriteSpec(spec); }, resource.spec);
  object["name"] = resource.name;
  return object;
}

std::string WriteResource(const Resource& resource) {
  return json::serialize(ToJson(resource));
}

}  // namespace basilsill
