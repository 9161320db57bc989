#ifndef BASILSILL_DECISION_TEST_CONFIGURATION_TEXT_H_
#define BASILSILL_DECISION_TEST_CONFIGURATION_TEXT_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "basilsill/decision/configuration.h"

/// Helpers that build resources and changes for tests.

namespace basilsill::test {

inline Resource TeamOf(const std::string& name, uint32_t weight = 1) {
  TeamSpec spec;
  spec.limits.weight = weight;
  return {name, spec};
}

inline Resource ServiceOf(const std::string& name, const std::string& team) {
  return {name, ServiceSpec{team}};
}

inline Resource SetOf(const std::string& name,
                      const std::string& service,
                      const std::string& data_centre,
                      const std::vector<uint16_t>& ports) {
  UpstreamSetSpec spec{service, data_centre, {}};
  for (const uint16_t port : ports) {
    spec.instances.push_back({{"10.0.0.1", port}, 2, false});
  }
  return {name, std::move(spec)};
}

inline Resource RuleOf(const std::string& name,
                       const std::string& service,
                       const std::string& path_prefix) {
  RuleSpec spec;
  spec.service = service;
  spec.match.path_prefix = path_prefix;
  return {name, std::move(spec)};
}

inline Change PutOf(const std::string& id,
                    const Resource& body,
                    std::optional<uint64_t> base = {},
                    uint64_t seen = 0) {
  return {id, {body.kind(), body.name}, base, body, seen};
}

inline Change DeleteOf(const std::string& id,
                       const ResourceId& resource,
                       uint64_t base,
                       uint64_t seen = 0) {
  return {id, resource, base, {}, seen};
}

}  // namespace basilsill::test

#endif  // BASILSILL_DECISION_TEST_CONFIGURATION_TEXT_H_
