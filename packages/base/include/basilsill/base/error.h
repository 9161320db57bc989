#ifndef BASILSILL_BASE_ERROR_H_
#define BASILSILL_BASE_ERROR_H_

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include <boost/outcome/result.hpp>

/// Typed failures. A failure consists of a kind from a closed list, the
/// location at which it was found, and a detail for people; programs decide by
/// kind alone.

namespace basilsill {

/// Every kind of failure, except for the reasons for which requests are refused
/// (see reason.h).
enum class FailureKind : uint8_t {
  kUnreadable,           ///< A file or input could not be read.
  kSyntax,               ///< The input violates its format.
  kUnknownField,         ///< The format has no such field.
  kMissingField,         ///< A required field is missing.
  kWrongType,            ///< A field has a type that is not allowed.
  kOutOfRange,           ///< A value is out of its range.
  kDuplicate,            ///< Two entries have the same name.
  kDanglingReference,    ///< A reference to something that doesn't exist.
  kInUse,                ///< A resource is still referenced.
  kConflict,             ///< A change is based on an outdated version.
  kNotFound,             ///< No such resource.
  kLimitReached,         ///< A fixed capacity is exhausted.
  kPlatformUnavailable,  ///< The platform did not answer in time.
  kPlatformRejected,     ///< The platform answered with an error.
  kTrimmed,              ///< The requested records are past retention.
  kUnresolved,           ///< Whether an append took effect is not yet known.
  kMalformedFrame,       ///< A peer frame can't be decoded.
  kOversizedFrame,       ///< A peer frame exceeds the size limit.
  kVersionMismatch,      ///< Peers speak different protocol versions.
  kNetwork,              ///< A socket call failed.
  kInternal,             ///< A bug in the program.
  kCount
};

/// @returns the stable name of `kind`, used in logs and API answers.
std::string_view FailureName(FailureKind kind);

/// One failure.
struct Failure {
  FailureKind kind = FailureKind::kCount;
  std::string path;    ///< Location: a JSON pointer, file or endpoint.
  std::string detail;  ///< What was found and what was expected.

  friend bool operator==(const Failure&, const Failure&) = default;
};

/// @returns `failure` as one line for logs.
std::string ToString(const Failure& failure);

/// Thrown for a failure that the caller does not handle as a value.
class FailureError : public std::exception {
 public:
  explicit FailureError(Failure failure);

  const char* what() const noexcept override;
  const Failure& failure() const { return this->reported; }

 private:
  Failure reported;
  std::string text;
};

/// Outcome policy: access to the value of a failed result throws FailureError.
struct ThrowFailure : boost::outcome_v2::policy::base {
  template <typename Impl>
  static constexpr void wide_value_check(Impl&& self) {
    if (!base::_has_value(self)) {
      ThrowAsError(base::_error(self));
    }
  }
  template <typename Impl>
  static constexpr void wide_error_check(Impl&& self) {
    narrow_error_check(self);
  }
  template <typename Impl>
  static constexpr void wide_exception_check(Impl&&) {}

 private:
  [[noreturn]] static void ThrowAsError(const Failure& failure) {
    throw FailureError(failure);
  }
  [[noreturn]] static void ThrowAsError(const std::vector<Failure>& failures) {
    throw FailureError(failures.empty() ? Failure{} : failures.front());
  }
};

/// Result of a factory or of another call that can fail.
template <typename T>
using Result = boost::outcome_v2::basic_result<T, Failure, ThrowFailure>;

/// Result of a check that reports all failures at once.
template <typename T>
using CheckedResult =
    boost::outcome_v2::basic_result<T, std::vector<Failure>, ThrowFailure>;

}  // namespace basilsill

#endif  // BASILSILL_BASE_ERROR_H_
