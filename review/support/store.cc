#include "store.h"

#include <cstdlib>
#include <utility>

namespace review {
namespace {

std::string Big(uint64_t number, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(number >> shift);
  }
  return text;
}

uint32_t Big32(const std::string& bytes, size_t at) {
  uint32_t number = 0;
  for (size_t i = at; i < at + 4; ++i) {
    number = number << 8 | static_cast<unsigned char>(bytes[i]);
  }
  return number;
}

std::string Encode64(const std::string& text) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = i; j < i + 3; ++j) {
      const auto byte =
          j < text.size() ? static_cast<unsigned char>(text[j]) : 0;
      bits = bits << 8 | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool is_padding = i + j > text.size();
      out += is_padding ? '=' : digits[bits >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string field = target.substr(at + 1, end - at - 1);
    if (field.rfind(name + "=", 0) == 0) {
      return field.substr(name.size() + 1);
    }
    at = end;
  }
  return "";
}

uint64_t QueryNumber(const std::string& target, const std::string& name) {
  return std::strtoull(QueryValue(target, name).c_str(), nullptr, 10);
}

std::string TopicOf(const std::string& target) {
  return QueryValue(target, "topic") + "/" + QueryValue(target, "part");
}

std::string Reply(const std::string& status,
                  const std::string& type,
                  const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string ReplyJson(const std::string& status, const std::string& body) {
  return Reply(status, "application/json", body);
}

std::string Quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += c;
  }
  return out + "\"";
}

}  // namespace

Store::Store(const std::string& address)
    : server(
          std::make_unique<Server>(address, 0, [this](Connection& connection) {
            this->Serve(connection);
          })) {}

void Store::Add(Topic& topic,
                const std::string& key,
                const std::string& value) {
  if (value.empty()) {
    topic.newest.erase(key);
  } else {
    topic.newest[key] = {value, topic.records.size()};
  }
  const std::string content = static_cast<char>(key.size()) + key + value;
  topic.records.push_back(Big(content.size(), 4) + content);
}

void Store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(this->mutex);
  Add(this->topics[topic + "/0"], key, value);
  this->changed.notify_all();
}

void Store::Serve(Connection& connection) {
  Message request;
  while (ReadMessage(connection, request) == ReadResult::kWhole) {
    if (!connection.Write(this->Answer(request))) {
      return;
    }
  }
}

std::string Store::Answer(const Message& request) {
  const size_t begin = request.start_line.find(' ') + 1;
  const size_t end = request.start_line.rfind(' ');
  const std::string target = request.start_line.substr(begin, end - begin);
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/basilsill/log-append") {
    return this->Append(target, request.body);
  }
  if (path == "/basilsill/log-read") {
    return this->Read(target);
  }
  if (path == "/basilsill/log-newest") {
    return this->ListNewest(target);
  }
  return ReplyJson("404 Not Found", "{}");
}

std::string Store::Append(const std::string& target, const std::string& body) {
  const std::lock_guard lock(this->mutex);
  Topic& topic = this->topics[TopicOf(target)];
  const uint64_t first = topic.records.size();
  const std::string at = QueryValue(target, "at");
  if (!at.empty() && QueryNumber(target, "at") != first) {
    return ReplyJson("412 Precondition Failed",
                     "{\"end\":" + std::to_string(first) + "}");
  }
  for (size_t i = 0; i + 5 <= body.size();) {
    const size_t size = Big32(body, i);
    const auto key = static_cast<unsigned char>(body[i + 4]);
    Add(topic, body.substr(i + 5, key),
        body.substr(i + 5 + key, size - 1 - key));
    i += 4 + size;
  }
  this->changed.notify_all();
  return ReplyJson(
      "200 OK", "{\"offset\":" + std::to_string(first) +
                    ",\"end\":" + std::to_string(topic.records.size()) + "}");
}

std::string Store::Read(const std::string& target) {
  std::unique_lock lock(this->mutex);
  Topic& topic = this->topics[TopicOf(target)];
  const uint64_t from = QueryNumber(target, "from");
  this->changed.wait_for(
      lock, Milliseconds(QueryNumber(target, "wait_ms")),
      [&topic, from] { return topic.records.size() > from; });
  if (from > topic.records.size()) {
    return ReplyJson("410 Gone", "{\"first\":0}");
  }
  std::string body = Big(topic.records.size(), 8) + Big(0, 8);
  for (uint64_t i = from; i < topic.records.size(); ++i) {
    body += topic.records[i];
  }
  return Reply("200 OK", "application/octet-stream", body);
}

std::string Store::ListNewest(const std::string& target) {
  const std::lock_guard lock(this->mutex);
  const Topic& topic = this->topics[TopicOf(target)];
  std::string items;
  for (const auto& [key, item] : topic.newest) {
    items += items.empty() ? "" : ",";
    items += "{\"key\":" + Quoted(key) + ",\"value\":\"" +
             Encode64(item.value) +
             "\",\"offset\":" + std::to_string(item.offset) + "}";
  }
  return ReplyJson("200 OK", "{\"items\":[" + items +
                                 "],\"has_more\":false,\"end\":" +
                                 std::to_string(topic.records.size()) + "}");
}

}  // namespace review
