// Reads the JSON form of resources.

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <span>
#include <string>
#include <utility>

#include <arpa/inet.h>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include "basilsill/decision/resource.h"
#include "json_object_reader.h"
#include "resource_json.h"

namespace basilsill {
namespace {

namespace json = boost::json;

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

void ReadName(JsonObjectReader& reader,
              std::string_view field,
              std::string& target) {
  std::string name;
  if (!reader.Read(field, kRequired, name)) {
    return;
  }
  if (!IsResourceName(name)) {
    reader.Reject(field, FailureKind::kOutOfRange,
                  "must have only lower-case letters, digits and inner "
                  "hyphens, expected length at most " +
                      std::to_string(limits::kMaxNameLength));
    return;
  }
  target = std::move(name);
}

std::optional<TrafficClass> TrafficClassOf(std::string_view name) {
  for (uint8_t i = 0; i < static_cast<uint8_t>(TrafficClass::kCount); ++i) {
    if (NameOf(static_cast<TrafficClass>(i)) == name) {
      return static_cast<TrafficClass>(i);
    }
  }
  return std::nullopt;
}

// Converts an address to its canonical spelling, so that two spellings of one
// instance compare equal.
std::optional<std::string> CanonicalAddress(const std::string& text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes;
  std::array<char, INET6_ADDRSTRLEN> spelled;
  for (const int family : {AF_INET, AF_INET6}) {
    if (inet_pton(family, text.c_str(), bytes.data()) == 1) {
      return inet_ntop(family, bytes.data(), spelled.data(), spelled.size());
    }
  }
  return std::nullopt;
}

void ReadApiKeys(JsonObjectReader& reader,
                 std::vector<ApiKeyDigest>& keys,
                 std::vector<Failure>& failures) {
  const std::span<const json::value> values =
      reader.ReadArray("api_keys", kOptional, limits::kMaxApiKeysPerTeam);
  for (size_t i = 0; i < values.size(); ++i) {
    const json::string* text = values[i].if_string();
    const auto digest =
        text == nullptr ? std::nullopt : ParseApiKeyDigest(*text);
    if (digest) {
      keys.push_back(*digest);
    } else {
      failures.push_back({FailureKind::kOutOfRange,
                          reader.PathOf("api_keys") + "/" + std::to_string(i),
                          "must be the digest of a key, 64 hexadecimal "
                          "digits"});
    }
  }
  // The order is irrelevant; sorting gives equal resources equal text.
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
}

void ReadTeamClass(JsonObjectReader& reader, TeamSpec& spec) {
  std::string name;
  if (!reader.Read("class", kOptional, name)) {
    return;
  }
  spec.traffic_class = TrafficClassOf(name);
  if (!spec.traffic_class) {
    reader.Reject("class", FailureKind::kOutOfRange,
                  "must be urgent, ordinary, bulk or background");
  }
}

void ReadTeam(JsonObjectReader& reader,
              TeamSpec& spec,
              std::vector<Failure>& failures) {
  ReadApiKeys(reader, spec.api_keys, failures);
  ReadTeamClass(reader, spec);
  const json::value* value = reader.Take("limits", kOptional);
  if (value == nullptr) {
    return;
  }
  JsonObjectReader fields(*value, reader.PathOf("limits"), failures);
  TeamLimits& team = spec.limits;
  fields.Read("concurrency", kOptional, 1, limits::kMaxTeamConcurrency,
              team.concurrency);
  fields.Read("queue", kOptional, 0, limits::kMaxQueuePerShard, team.queue);
  fields.Read("requests_per_second", kOptional, 0.0, limits::kMaxTeamRate,
              team.requests_per_second);
  fields.Read("burst", kOptional, 0.0, limits::kMaxTeamRate, team.burst);
  fields.Read("weight", kOptional, 1, limits::kMaxTeamWeight, team.weight);
  fields.RejectUnknownFields();
}

InstanceSpec ReadInstance(const json::value& value,
                          const std::string& path,
                          std::vector<Failure>& failures) {
  InstanceSpec instance;
  JsonObjectReader fields(value, path, failures);
  std::string address;
  const bool has_address = fields.Read("address", kRequired, address);
  fields.Read("port", kRequired, 1, UINT16_MAX, instance.endpoint.port);
  fields.Read("slots", kOptional, 1, limits::kMaxSlotsPerUpstream,
              instance.slots);
  fields.Read("leaving", kOptional, instance.leaving);
  fields.RejectUnknownFields();
  const std::optional<std::string> canonical = CanonicalAddress(address);
  if (canonical) {
    instance.endpoint.address = *canonical;
  } else if (has_address) {
    fields.Reject("address", FailureKind::kOutOfRange, "must be an IP address");
  }
  return instance;
}

void ReadUpstreamSet(JsonObjectReader& reader,
                     UpstreamSetSpec& spec,
                     std::vector<Failure>& failures) {
  ReadName(reader, "service", spec.service);
  ReadName(reader, "data_centre", spec.data_centre);
  const std::span<const json::value> instances =
      reader.ReadArray("instances", kRequired, limits::kMaxInstancesPerSet);
  std::set<std::pair<std::string, uint16_t>> seen;
  for (size_t i = 0; i < instances.size(); ++i) {
    const std::string path =
        reader.PathOf("instances") + "/" + std::to_string(i);
    InstanceSpec instance = ReadInstance(instances[i], path, failures);
    const Endpoint& endpoint = instance.endpoint;
    if (!endpoint.address.empty() &&
        !seen.emplace(endpoint.address, endpoint.port).second) {
      failures.push_back({FailureKind::kDuplicate, path,
                          "an earlier instance has the same address and port"});
    }
    spec.instances.push_back(std::move(instance));
  }
}

bool IsLowerCase(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return std::isupper(c) != 0; });
}

bool IsMethod(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isupper(c) != 0 || c == '-';
         });
}

void CheckMatchText(JsonObjectReader& fields,
                    std::string_view name,
                    const std::string& text,
                    bool is_allowed,
                    const char* what) {
  if (!is_allowed || text.size() > limits::kMaxMatchTextLength) {
    fields.Reject(name, FailureKind::kOutOfRange, what);
  }
}

void ReadMethods(JsonObjectReader& fields,
                 std::vector<std::string>& methods,
                 std::vector<Failure>& failures) {
  const std::span<const json::value> values =
      fields.ReadArray("methods", kOptional, limits::kMaxMatchEntries);
  for (size_t i = 0; i < values.size(); ++i) {
    const json::string* text = values[i].if_string();
    const std::string path = fields.PathOf("methods") + "/" + std::to_string(i);
    if (text == nullptr) {
      failures.push_back({FailureKind::kWrongType, path, "must be a string"});
    } else if (!IsMethod(*text)) {
      failures.push_back(
          {FailureKind::kOutOfRange, path, "must be a method in upper case"});
    } else {
      methods.emplace_back(*text);
    }
  }
  // The order is irrelevant; sorting gives equal resources equal text.
  std::sort(methods.begin(), methods.end());
  methods.erase(std::unique(methods.begin(), methods.end()), methods.end());
}

void ReadHeaders(JsonObjectReader& fields,
                 std::vector<HeaderMatch>& headers,
                 std::vector<Failure>& failures) {
  const std::span<const json::value> values =
      fields.ReadArray("headers", kOptional, limits::kMaxMatchEntries);
  for (size_t i = 0; i < values.size(); ++i) {
    const std::string path = fields.PathOf("headers") + "/" + std::to_string(i);
    JsonObjectReader header(values[i], path, failures);
    HeaderMatch match;
    header.Read("name", kRequired, match.name);
    header.Read("value", kRequired, match.value);
    header.RejectUnknownFields();
    CheckMatchText(header, "name", match.name, IsLowerCase(match.name),
                   "must be a header name in lower case");
    CheckMatchText(header, "value", match.value, true, "is too long");
    headers.push_back(std::move(match));
  }
}

void ReadMatch(const json::value& value,
               const std::string& path,
               RuleMatch& match,
               std::vector<Failure>& failures) {
  JsonObjectReader fields(value, path, failures);
  fields.Read("host", kOptional, match.host);
  CheckMatchText(
      fields, "host", match.host,
      IsLowerCase(match.host) && match.host.find(':') == std::string::npos,
      "must be a host in lower case without a port");
  fields.Read("path_prefix", kOptional, match.path_prefix);
  CheckMatchText(fields, "path_prefix", match.path_prefix,
                 match.path_prefix.starts_with('/'), "must start with /");
  ReadMethods(fields, match.methods, failures);
  ReadHeaders(fields, match.headers, failures);
  fields.RejectUnknownFields();
}

void ReadRule(JsonObjectReader& reader,
              RuleSpec& spec,
              std::vector<Failure>& failures) {
  ReadName(reader, "service", spec.service);
  const json::value* match = reader.Take("match", kOptional);
  if (match != nullptr) {
    ReadMatch(*match, reader.PathOf("match"), spec.match, failures);
  }
  std::string class_name(NameOf(spec.traffic_class));
  reader.Read("class", kOptional, class_name);
  const std::optional<TrafficClass> traffic_class = TrafficClassOf(class_name);
  if (traffic_class) {
    spec.traffic_class = *traffic_class;
  } else {
    reader.Reject("class", FailureKind::kOutOfRange,
                  "must be urgent, ordinary, bulk or background");
  }
  reader.Read("once", kOptional, spec.once);
  reader.Read("idempotent", kOptional, spec.idempotent);
  reader.Read("hedge", kOptional, spec.hedge);
  reader.Read("requires_api_key", kOptional, spec.requires_api_key);
  auto deadline = static_cast<uint64_t>(spec.deadline.count());
  reader.Read("deadline_ms", kOptional, 1, limits::kMaxDeadline.count(),
              deadline);
  spec.deadline = std::chrono::milliseconds(deadline);
  if (spec.once && spec.idempotent) {
    reader.Reject("idempotent", FailureKind::kOutOfRange,
                  "a rule with once can't be idempotent");
  }
  if (spec.once && spec.hedge) {
    reader.Reject("hedge", FailureKind::kOutOfRange,
                  "a rule with once can't hedge");
  }
}

void ReadRatio(JsonObjectReader& reader,
               std::string_view name,
               std::optional<double>& target) {
  double ratio = 0;
  if (reader.Read(name, kOptional, 0.0, 1.0, ratio)) {
    target = ratio;
  }
}

void ReadLimits(JsonObjectReader& reader, LimitsSpec& spec) {
  ReadRatio(reader, "retry_ratio", spec.retry_ratio);
  ReadRatio(reader, "hedge_ratio", spec.hedge_ratio);
  ReadRatio(reader, "bulk_slot_share", spec.bulk_slot_share);
}

void ReadService(JsonObjectReader& reader, ServiceSpec& spec) {
  ReadName(reader, "team", spec.team);
  auto cold_time = static_cast<uint64_t>(spec.cold.time.count());
  reader.Read("cold_time_ms", kOptional, 0, limits::kMaxColdTime.count(),
              cold_time);
  spec.cold.time = std::chrono::milliseconds(cold_time);
  reader.Read("cold_requests_per_second", kOptional, 0, limits::kMaxColdRate,
              spec.cold.requests_per_second);
}

ResourceSpec ReadSpec(ResourceKind kind,
                      JsonObjectReader& reader,
                      std::vector<Failure>& failures) {
  switch (kind) {
    case ResourceKind::kTeam: {
      TeamSpec spec;
      ReadTeam(reader, spec, failures);
      return spec;
    }
    case ResourceKind::kService: {
      ServiceSpec spec;
      ReadService(reader, spec);
      return spec;
    }
    case ResourceKind::kUpstreamSet: {
      UpstreamSetSpec spec;
      ReadUpstreamSet(reader, spec, failures);
      return spec;
    }
    case ResourceKind::kRule: {
      RuleSpec spec;
      ReadRule(reader, spec, failures);
      return spec;
    }
    case ResourceKind::kDataCentre: {
      DataCentreSpec spec;
      reader.Read("drained", kOptional, spec.drained);
      return spec;
    }
    default: {
      LimitsSpec spec;
      ReadLimits(reader, spec);
      return spec;
    }
  }
}

}  // namespace

Resource ReadResource(const ResourceId& id,
                      const json::value& value,
                      const std::string& path,
                      std::vector<Failure>& failures) {
  JsonObjectReader reader(value, path, failures);
  Resource resource;
  ReadName(reader, "name", resource.name);
  if (!resource.name.empty() && resource.name != id.name) {
    reader.Reject("name", FailureKind::kOutOfRange,
                  "must be '" + id.name + "'");
  }
  if (id.kind == ResourceKind::kTeam && resource.name == kInstallationLimits) {
    reader.Reject("name", FailureKind::kOutOfRange, "is reserved");
  }
  resource.spec = ReadSpec(id.kind, reader, failures);
  reader.RejectUnknownFields();
  return resource;
}

CheckedResult<Resource> ReadResource(const ResourceId& id,
                                     std::string_view text) {
  json::error_code fault;
  const json::value value = json::parse({text.data(), text.size()}, fault);
  if (fault) {
    return std::vector<Failure>{{FailureKind::kSyntax, "", fault.message()}};
  }
  std::vector<Failure> failures;
  Resource resource = ReadResource(id, value, "", failures);
  if (!failures.empty()) {
    return failures;
  }
  return resource;
}

}  // namespace basilsill
