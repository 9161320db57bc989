#ifndef BASILSILL_DECISION_SRC_JSON_OBJECT_READER_H_
#define BASILSILL_DECISION_SRC_JSON_OBJECT_READER_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "basilsill/base/error.h"

/// Reads the fields of one JSON object strictly, and continues after a fault so
/// that all faults of a document are found in one pass.

namespace basilsill {

enum class Presence : uint8_t { kRequired, kOptional, kCount };

/// Reader for the fields of one object. Every Read* call names a field of the
/// format; `RejectUnknownFields` then reports the fields that no call has
/// named. A Read* call that finds a fault reports it and leaves its target
/// unchanged; it returns true only if it has set its target.
class JsonObjectReader {
 public:
  /// @param value Expected to be an object; any other type is reported as a
  /// fault.
  /// @param path JSON pointer of `value`.
  /// @param failures Receives the faults; must outlive the reader.
  JsonObjectReader(const boost::json::value& value,
                   std::string path,
                   std::vector<Failure>& failures);

  /// @returns the raw field, or nullptr if absent.
  const boost::json::value* Take(std::string_view name, Presence presence);

  bool Read(std::string_view name, Presence presence, std::string& target);
  bool Read(std::string_view name, Presence presence, bool& target);
  bool Read(std::string_view name,
            Presence presence,
            double min,
            double max,
            double& target);

  /// Reads an integer from `min` to `max`.
  template <typename Integer>
  bool Read(std::string_view name,
            Presence presence,
            uint64_t min,
            uint64_t max,
            Integer& target) {
    uint64_t number = 0;
    if (!this->ReadInteger(name, presence, min, max, number)) {
      return false;
    }
    target = static_cast<Integer>(number);
    return true;
  }

  /// @returns the entries of array `name`; empty if it is absent or has a
  /// fault.
  std::span<const boost::json::value> ReadArray(std::string_view name,
                                                Presence presence,
                                                size_t max_size);

  void RejectUnknownFields();

  /// Reports a fault of field `name`.
  void Reject(std::string_view name, FailureKind kind, std::string detail);

  /// @returns the JSON pointer of field `name`.
  std::string PathOf(std::string_view name) const;

 private:
  bool ReadInteger(std::string_view name,
                   Presence presence,
                   uint64_t min,
                   uint64_t max,
                   uint64_t& target);

  const boost::json::object* object;  // nullptr if the value is not an object.
  std::string path;
  std::vector<Failure>& failures;
  std::vector<std::string_view> known;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_JSON_OBJECT_READER_H_
