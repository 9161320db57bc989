#include "settings_value.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "basilsill/base/limits.h"
#include "basilsill/decision/mechanism.h"

namespace basilsill {
namespace {

namespace json = boost::json;

constexpr size_t kMaxShownBytes = 60;
constexpr char kAllowedAddress[] = "an IP number";
constexpr char kAllowedPort[] = "an integer from 1 to 65535";
constexpr uint16_t kMinEndpointPort = 1;
constexpr uint16_t kMaxEndpointPort = 65535;

std::string Abbreviated(const json::value& value) {
  std::string text = json::serialize(value);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

bool IsName(std::string_view text) {
  const auto is_allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  };
  return !text.empty() && text.size() <= limits::kMaxNameLength &&
         text.front() != '-' && text.back() != '-' &&
         std::all_of(text.begin(), text.end(), is_allowed);
}

bool IsAddress(std::string_view text) {
  boost::system::error_code error;
  boost::asio::ip::make_address(text, error);
  return !error;
}

bool HasFormat(std::string_view text, TextFormat format) {
  switch (format) {
    case TextFormat::kName:
      return IsName(text);
    case TextFormat::kAddress:
      return IsAddress(text);
    case TextFormat::kPath:
      // System calls take a path to end at a NUL and would use another file.
      return text.find('\0') == std::string_view::npos;
    case TextFormat::kMechanisms:
      return FeaturesWithout(text).has_value();
    case TextFormat::kCount:
      break;
  }
  return false;
}

std::optional<Severity> SeverityNamed(std::string_view name) {
  for (int i = 0; i < static_cast<int>(Severity::kCount); ++i) {
    const auto severity = static_cast<Severity>(i);
    if (SeverityName(severity) == name) {
      return severity;
    }
  }
  return std::nullopt;
}

/// Reads one value into a member, by the type of the member.
class ValueReader {
 public:
  ValueReader(const SettingField& field,
              const json::value& value,
              std::vector<Failure>& failures)
      : field(field), value(value), failures(failures) {}

  void operator()(std::string* member) {
    if (!this->value.is_string()) {
      this->Fail(FailureKind::kWrongType);
    } else if (!HasFormat(this->value.get_string(), this->field.format)) {
      this->Fail(FailureKind::kOutOfRange);
    } else {
      *member = this->value.get_string();
    }
  }

  void operator()(Severity* member) {
    if (!this->value.is_string()) {
      this->Fail(FailureKind::kWrongType);
      return;
    }
    const auto severity = SeverityNamed(this->value.get_string());
    if (!severity) {
      this->Fail(FailureKind::kOutOfRange);
      return;
    }
    *member = *severity;
  }

  void operator()(double* member) {
    if (const std::optional<double> number = this->NumberInRange()) {
      *member = *number;
    }
  }

  void operator()(std::chrono::milliseconds* member) {
    if (const std::optional<double> number = this->IntegerInRange()) {
      *member = std::chrono::milliseconds(static_cast<int64_t>(*number));
    }
  }

  void operator()(std::vector<Endpoint>* member) {
    if (!this->value.is_array()) {
      this->Fail(FailureKind::kWrongType);
      return;
    }
    const json::array& items = this->value.get_array();
    const auto size = static_cast<double>(items.size());
    if (size < this->field.least || size > this->field.most) {
      this->Fail(FailureKind::kOutOfRange);
      return;
    }
    std::vector<Endpoint> endpoints(items.size());
    for (size_t i = 0; i < items.size(); ++i) {
      this->ReadEndpoint(this->Path() + "/" + std::to_string(i), items[i],
                         endpoints[i]);
    }
    *member = std::move(endpoints);
  }

  template <typename Unsigned>
  void operator()(Unsigned* member) {
    if (const std::optional<double> number = this->IntegerInRange()) {
      *member = static_cast<Unsigned>(*number);
    }
  }

 private:
  std::string Path() const { return std::string(this->field.path); }

  void Fail(FailureKind kind) {
    this->failures.push_back(
        {kind, this->Path(),
         FoundAndAllowed(this->value, AllowedValues(this->field))});
  }

  /// @returns the number if it is in the range of the field. Ranges end at 2^53
  /// at most, so a double holds each integer exactly.
  std::optional<double> NumberInRange() {
    if (!this->value.is_number()) {
      this->Fail(FailureKind::kWrongType);
      return std::nullopt;
    }
    const auto number = this->value.to_number<double>();
    if (!(number >= this->field.least && number <= this->field.most)) {
      this->Fail(FailureKind::kOutOfRange);
      return std::nullopt;
    }
    return number;
  }

  std::optional<double> IntegerInRange() {
    if (this->value.is_double()) {
      this->Fail(FailureKind::kWrongType);
      return std::nullopt;
    }
    return this->NumberInRange();
  }

  void ReadEndpoint(const std::string& path,
                    const json::value& item,
                    Endpoint& endpoint) {
    if (!item.is_object()) {
      this->failures.push_back(
          {FailureKind::kWrongType, path,
           FoundAndAllowed(item, "an object with address and port")});
      return;
    }
    const json::object& object = item.get_object();
    this->ReadEndpointAddress(path + "/address", object, endpoint);
    this->ReadEndpointPort(path + "/port", object, endpoint);
    for (const auto& entry : object) {
      if (entry.key() != "address" && entry.key() != "port") {
        this->failures.push_back({FailureKind::kUnknownField,
                                  path + "/" + std::string(entry.key()),
                                  "allowed are address and port"});
      }
    }
  }

  void ReadEndpointAddress(const std::string& path,
                           const json::object& object,
                           Endpoint& endpoint) {
    const json::value* const address = object.if_contains("address");
    if (address == nullptr) {
      this->FailMissing(path, kAllowedAddress);
    } else if (!address->is_string()) {
      this->failures.push_back({FailureKind::kWrongType, path,
                                FoundAndAllowed(*address, kAllowedAddress)});
    } else if (!IsAddress(address->get_string())) {
      this->failures.push_back({FailureKind::kOutOfRange, path,
                                FoundAndAllowed(*address, kAllowedAddress)});
    } else {
      endpoint.address = address->get_string();
    }
  }

  void ReadEndpointPort(const std::string& path,
                        const json::object& object,
                        Endpoint& endpoint) {
    const json::value* const port = object.if_contains("port");
    if (port == nullptr) {
      this->FailMissing(path, kAllowedPort);
      return;
    }
    if (!port->is_int64() && !port->is_uint64()) {
      this->failures.push_back({FailureKind::kWrongType, path,
                                FoundAndAllowed(*port, kAllowedPort)});
      return;
    }
    const auto number = port->to_number<double>();
    if (number < kMinEndpointPort || number > kMaxEndpointPort) {
      this->failures.push_back({FailureKind::kOutOfRange, path,
                                FoundAndAllowed(*port, kAllowedPort)});
      return;
    }
    endpoint.port = static_cast<uint16_t>(number);
  }

  void FailMissing(const std::string& path, const std::string& allowed) {
    this->failures.push_back({FailureKind::kMissingField, path,
                              "found nothing, allowed is " + allowed});
  }

  const SettingField& field;
  const json::value& value;
  std::vector<Failure>& failures;
};

}  // namespace

void ReadSetting(const SettingField& field,
                 const json::value& value,
                 Settings& settings,
                 std::vector<Failure>& failures) {
  std::visit(ValueReader(field, value, failures), field.member(settings));
}

std::string FoundAndAllowed(const json::value& found,
                            const std::string& allowed) {
  return "found " + Abbreviated(found) + ", allowed is " + allowed;
}

}  // namespace basilsill
