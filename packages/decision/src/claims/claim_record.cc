#include "claim_record.h"

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>

#include <boost/json.hpp>

#include "basilsill/base/text.h"

namespace basilsill {
namespace {

namespace json = boost::json;

constexpr size_t kHexDigits = 16;
constexpr std::string_view kDigits = "0123456789abcdef";
constexpr std::array<std::string_view,
                     static_cast<size_t>(ClaimRecordKind::kCount)>
    kKindNames = {"claim", "done", "unknown", "released"};

// Encodes bytes above 0x7f as the code points U+0080 to U+00FF, so that any
// response is a valid JSON string and plain text stays readable in the log.
std::string EncodeBytes(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      text.push_back(c);
    } else {
      text.push_back(static_cast<char>(0xc0 | (byte >> 6)));
      text.push_back(static_cast<char>(0x80 | (byte & 0x3f)));
    }
  }
  return text;
}

std::string DecodeBytes(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < 0x80) {
      bytes.push_back(text[i]);
      continue;
    }
    if ((lead != 0xc2 && lead != 0xc3) || i + 1 == text.size()) {
      throw std::invalid_argument("code point above U+00FF");
    }
    const auto tail = static_cast<unsigned char>(text[++i]);
    bytes.push_back(static_cast<char>((lead << 6) | (tail & 0x3f)));
  }
  return bytes;
}

std::string Hex(uint64_t value) {
  std::string text(kHexDigits, '0');
  for (size_t i = kHexDigits; value != 0; value >>= 4) {
    text[--i] = kDigits[value & 0xf];
  }
  return text;
}

uint64_t ParseHex(std::string_view text) {
  const std::optional<uint64_t> value = ParseNumber<uint64_t>(text, 16);
  if (text.size() != kHexDigits || !value) {
    throw std::invalid_argument("not 16 hexadecimal digits");
  }
  return *value;
}

std::string_view HexField(std::string_view text, size_t number, size_t parts) {
  if (text.size() != parts * kHexDigits) {
    throw std::invalid_argument("wrong length");
  }
  return text.substr(number * kHexDigits, kHexDigits);
}

std::string_view TextAt(const json::object& object, std::string_view name) {
  const json::string& text = object.at(name).as_string();
  return {text.data(), text.size()};
}

Digest ParseDigest(std::string_view text) {
  return {ParseHex(HexField(text, 0, 2)), ParseHex(HexField(text, 1, 2))};
}

ClaimRecordKind ParseKind(std::string_view name) {
  const auto found = std::find(kKindNames.begin(), kKindNames.end(), name);
  if (found == kKindNames.end()) {
    throw std::invalid_argument("unknown kind");
  }
  return static_cast<ClaimRecordKind>(found - kKindNames.begin());
}

void WriteAnswer(const StoredResponse& answer, json::object& object) {
  json::array headers;
  for (const StoredHeader& header : answer.headers) {
    headers.push_back(json::array{header.name, EncodeBytes(header.value)});
  }
  object["status"] = answer.status;
  object["whole"] = answer.whole;
  object["headers"] = std::move(headers);
  object["answer"] = EncodeBytes(answer.body);
}

StoredResponse ReadAnswer(const json::object& object) {
  StoredResponse answer;
  answer.status = object.at("status").to_number<uint16_t>();
  answer.whole = object.at("whole").as_bool();
  answer.body = DecodeBytes(TextAt(object, "answer"));
  for (const json::value& header : object.at("headers").as_array()) {
    const json::string& name = header.as_array().at(0).as_string();
    const json::string& value = header.as_array().at(1).as_string();
    answer.headers.push_back(
        {std::string(name.data(), name.size()),
         DecodeBytes(std::string_view(value.data(), value.size()))});
  }
  return answer;
}

ClaimRecord Decode(const json::object& object) {
  ClaimRecord record;
  record.kind = ParseKind(TextAt(object, "kind"));
  const std::string_view key = TextAt(object, "key");
  record.key.team = ParseHex(HexField(key, 0, 3));
  record.key.digest = {ParseHex(HexField(key, 1, 3)),
                       ParseHex(HexField(key, 2, 3))};
  const std::string_view attempt = TextAt(object, "attempt");
  record.attempt = {ParseHex(HexField(attempt, 0, 2)),
                    ParseHex(HexField(attempt, 1, 2))};
  record.vm = TextAt(object, "vm");
  if (record.kind != ClaimRecordKind::kReleased) {
    record.body = ParseDigest(TextAt(object, "body"));
  }
  if (record.kind == ClaimRecordKind::kClaim) {
    record.left =
        std::chrono::milliseconds(object.at("left_ms").to_number<int64_t>());
  }
  if (record.kind == ClaimRecordKind::kDone) {
    record.answer = ReadAnswer(object);
  }
  return record;
}

}  // namespace

ClaimRecordKind KindOf(ClaimOutcome outcome) {
  switch (outcome) {
    case ClaimOutcome::kDone:
      return ClaimRecordKind::kDone;
    case ClaimOutcome::kReleased:
      return ClaimRecordKind::kReleased;
    case ClaimOutcome::kUnknown:
    case ClaimOutcome::kCount:
      return ClaimRecordKind::kUnknown;
  }
  return ClaimRecordKind::kUnknown;
}

std::string EncodeClaimRecord(const ClaimRecord& record) {
  json::object object;
  object["kind"] = kKindNames.at(static_cast<size_t>(record.kind));
  object["key"] = Hex(record.key.team) + Hex(record.key.digest.high) +
                  Hex(record.key.digest.low);
  object["attempt"] = Hex(record.attempt.origin) + Hex(record.attempt.sequence);
  object["vm"] = record.vm;
  if (record.kind != ClaimRecordKind::kReleased) {
    object["body"] = Hex(record.body.high) + Hex(record.body.low);
  }
  if (record.kind == ClaimRecordKind::kClaim) {
    object["left_ms"] = record.left.count();
  }
  if (record.kind == ClaimRecordKind::kDone) {
    WriteAnswer(record.answer, object);
  }
  return json::serialize(object);
}

std::optional<ClaimRecord> DecodeClaimRecord(std::string_view text) {
  try {
    return Decode(json::parse(text).as_object());
  } catch (const std::exception&) {
    // Readers treat every malformed record alike, as one of unknown meaning, so
    // the cause is not reported.
    return std::nullopt;
  }
}

}  // namespace basilsill
