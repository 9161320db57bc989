#ifndef BASILSILL_CTL_UPSTREAM_JSON_H_
#define BASILSILL_CTL_UPSTREAM_JSON_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "basilsill/base/error.h"
#include "basilsill/ctl/upstream.h"
#include "upstream_state.h"

/// JSON of the control interface of an emulated instance. The control interface
/// and the command line use the same table of fields.

namespace basilsill::ctl {

/// External name and limits of one field of UpstreamBehaviour.
struct UpstreamField {
  using Member = std::variant<bool UpstreamBehaviour::*,
                              unsigned UpstreamBehaviour::*,
                              size_t UpstreamBehaviour::*,
                              double UpstreamBehaviour::*,
                              Duration UpstreamBehaviour::*,
                              ServiceDistribution UpstreamBehaviour::*>;
  std::string_view name;  ///< Durations are in milliseconds and end in `_ms`.
  std::string_view help;
  Member member;
  double smallest = 0;
  double largest = 0;
};

/// @returns all fields, in the order of the help text.
std::span<const UpstreamField> AllUpstreamFields();

/// Sets one field from its JSON text. A text that is not valid JSON is taken as
/// a string.
/// @returns kWrongType or kOutOfRange with the field's name as path.
Result<void> SetUpstreamField(const UpstreamField& field,
                              std::string_view text,
                              UpstreamBehaviour& behaviour);

/// Content of one `PUT /_control/state`.
struct UpstreamChange {
  UpstreamBehaviour behaviour;
  /// If set, the instance crashes after the answer and restarts after this
  /// time.
  std::optional<Duration> crash;
};

/// Reads the body of `PUT /_control/state`: an object with any of the fields
/// and `crash_ms`.
/// @param base Provides the values of the fields that the body does not have.
/// @returns the change, or all errors of the body.
CheckedResult<UpstreamChange> ParseUpstreamChange(
    std::string_view text,
    const UpstreamBehaviour& base);

/// @returns the body of `GET /_control/state`.
std::string BehaviourJson(const UpstreamBehaviour& behaviour);

/// @returns the body of `GET /_control/stats`.
std::string CountsJson(std::string_view name, const UpstreamCounts& counts);

/// @returns the body of `GET /load`.
std::string LoadJson(std::string_view name,
                     const UpstreamLoad& load,
                     unsigned slots);

/// @returns the body of an error answer, `{"failures": [...]}`.
std::string FailuresJson(std::span<const Failure> failures);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_JSON_H_
