#include "http_message.h"

#include <array>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace basilsill {
namespace {

namespace http = boost::beast::http;

constexpr std::array kHopByHop = {http::field::connection,
                                  http::field::keep_alive,
                                  http::field::proxy_connection,
                                  http::field::te,
                                  http::field::trailer,
                                  http::field::transfer_encoding,
                                  http::field::upgrade,
                                  http::field::proxy_authenticate,
                                  http::field::proxy_authorization};

void AppendLine(std::string& out,
                std::string_view name,
                std::string_view value) {
  out += name;
  out += ": ";
  out += value;
  out += "\r\n";
}

void AppendFraming(std::string& out, const BodyFraming& framing) {
  if (framing.kind == BodyKind::kLength) {
    AppendLine(out, "Content-Length", std::to_string(framing.length));
  } else if (framing.kind == BodyKind::kChunked) {
    AppendLine(out, "Transfer-Encoding", "chunked");
  }
}

}  // namespace

void RemoveHopByHop(HttpFields& headers) {
  std::vector<std::string> named;
  for (const auto& option :
       http::token_list(headers[http::field::connection])) {
    named.emplace_back(option);
  }
  for (const std::string& name : named) {
    headers.erase(name);
  }
  for (const http::field field : kHopByHop) {
    headers.erase(field);
  }
  headers.erase(http::field::content_length);
}

void Withdraw(RequestMessage& request) {
  request.withdrawn = true;
  if (request.on_withdrawn) {
    // The callee may replace the function while it runs.
    const auto notify = request.on_withdrawn;
    notify();
  }
}

std::string_view HeaderValue(const HttpFields& headers, std::string_view name) {
  const auto found = headers.find({name.data(), name.size()});
  if (found == headers.end()) {
    return {};
  }
  const auto value = found->value();
  return {value.data(), value.size()};
}

void AppendHeaders(std::string& out,
                   const HttpFields& headers,
                   const BodyFraming& framing) {
  for (const auto& field : headers) {
    const auto name = field.name_string();
    const auto value = field.value();
    AppendLine(out, {name.data(), name.size()}, {value.data(), value.size()});
  }
  AppendFraming(out, framing);
  out += "\r\n";
}

void AppendAnswerHead(std::string& out,
                      const AnswerHead& head,
                      bool close_after) {
  out += "HTTP/1.1 ";
  out += std::to_string(head.status);
  out += ' ';
  if (head.reason.empty()) {
    const auto reason = http::obsolete_reason(http::int_to_status(head.status));
    out.append(reason.data(), reason.size());
  } else {
    out += head.reason;
  }
  out += "\r\n";
  if (close_after) {
    out += "Connection: close\r\n";
  }
  AppendHeaders(out, head.headers, head.framing);
}

void AppendRequestHead(std::string& out,
                       const RequestMessage& request,
                       const UpstreamHead& upstream) {
  out += request.method;
  out += ' ';
  out += request.target;
  out += " HTTP/1.1\r\n";
  AppendLine(out, upstream.deadline_name,
             std::to_string(upstream.remaining.count()));
  if (!upstream.expected_name.empty()) {
    AppendLine(out, upstream.expected_name, upstream.expected_instance);
  }
  AppendHeaders(out, request.headers, request.framing);
}

}  // namespace basilsill
