#include "copying_upstream.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "basilsill/base/text.h"
#include "http_text.h"

namespace basilsill::test {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr milliseconds kSoon{2};
constexpr milliseconds kPoll{1};
// Size of one write of bytes without end.
constexpr size_t kRepeatedBytes = 4096;
constexpr size_t kLastBytes = 256;
const std::string kBlankLine = "\r\n\r\n";
const std::string kLastChunk = "0\r\n\r\n";

}  // namespace

struct CopyingUpstream::State : std::enable_shared_from_this<State> {
  State(IoContext& context,
        HeaderNames names,
        std::function<UpstreamReply(bool)> choose,
        std::string instance)
      : run_on(context.get_executor()),
        acceptor(Listen(context, {"127.0.0.1", 0}, false).value()),
        names(std::move(names)),
        choose(std::move(choose)),
        instance(std::move(instance)) {}

  Task<void> Accept();
  Task<void> Serve(Socket socket);
  Task<void> Repeat(Socket& socket, const UpstreamReply& reply);
  Task<bool> WriteBytes(Socket& socket, const UpstreamReply& reply);
  Task<void> Sleep(milliseconds time);
  Task<bool> ReadBody(Socket& socket,
                      const std::string& head,
                      std::string& received);
  std::string MakeAnswer(const std::string& id,
                         bool is_health_check,
                         const UpstreamReply& reply) const;

  Executor run_on;
  Acceptor acceptor;
  HeaderNames names;
  std::function<UpstreamReply(bool)> choose;
  std::string instance;
  std::map<std::string, size_t> runs;
  std::set<Socket*> open;
  size_t connections = 0;
  size_t running = 0;
};

std::string AnswerBodyOf(const std::string& id) {
  return "answer to " + id;
}

std::string CopyingUpstream::State::MakeAnswer(
    const std::string& id,
    bool is_health_check,
    const UpstreamReply& reply) const {
  const unsigned usual = reply.rejects ? kUnavailable : kOk;
  const unsigned status = reply.status != 0 ? reply.status : usual;
  std::string answer = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  if (!id.empty()) {
    answer += this->names.request_id + ": " + id + "\r\n";
  }
  if (is_health_check) {
    if (!this->instance.empty()) {
      answer += this->names.served_by + ": " + this->instance + "\r\n";
    }
    answer += this->names.load + ": 1,0,2\r\n";
    return answer + "Content-Length: 0\r\n\r\n";
  }
  if (reply.rejects) {
    answer += reply.says_not_run ? this->names.not_run + ": 1\r\n" : "";
    return answer + "Content-Length: 0\r\n\r\n";
  }
  if (!this->names.seal.empty()) {
    answer += this->names.seal + ": s\r\n";
  }
  const std::string body = AnswerBodyOf(id);
  return answer + "Content-Length: " + std::to_string(body.size()) +
         kBlankLine + body;
}

Task<void> CopyingUpstream::State::Accept() {
  const auto self = this->shared_from_this();
  for (;;) {
    Socket socket(this->run_on);
    const auto [error] = co_await this->acceptor.async_accept(socket, kTask);
    if (error) {
      co_return;
    }
    ++this->connections;
    boost::asio::co_spawn(this->run_on, this->Serve(std::move(socket)),
                          boost::asio::detached);
  }
}

Task<void> CopyingUpstream::State::Serve(Socket socket) {
  const auto self = this->shared_from_this();
  this->open.insert(&socket);
  std::string received;
  std::string before_next;
  std::string behind_next;
  std::map<std::string, std::string> before_same;
  for (;;) {
    const auto [error, size] = co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(received), kBlankLine, kTask);
    if (error) {
      break;
    }
    const std::string head = received.substr(0, size);
    received.erase(0, size);
    const std::string id = FieldOf(head, this->names.request_id);
    const bool is_health_check = head.starts_with("GET /health ");
    const UpstreamReply reply = this->choose(is_health_check);
    if (!reply.leaves_body_unread) {
      const bool has_body = co_await this->ReadBody(socket, head, received);
      if (!has_body) {
        break;
      }
    }
    if (!before_next.empty()) {
      const std::string copy = std::exchange(before_next, "");
      co_await boost::asio::async_write(socket, boost::asio::buffer(copy),
                                        kTask);
    }
    const std::string same = std::exchange(before_same[id], "");
    if (!same.empty()) {
      co_await boost::asio::async_write(socket, boost::asio::buffer(same),
                                        kTask);
    }
    const bool runs = !is_health_check && !reply.rejects;
    if (runs) {
      ++this->runs[id];
    }
    this->running += runs ? 1 : 0;
    co_await this->Sleep(reply.work);
    this->running -= runs ? 1 : 0;
    if (reply.lost == LostAnswer::kNeverSent) {
      continue;
    }
    if (reply.lost != LostAnswer::kNone) {
      if (reply.lost == LostAnswer::kReset) {
        CloseWithReset(socket);
      }
      break;
    }
    if (!reply.repeated.empty()) {
      co_await this->Repeat(socket, reply);
      break;
    }
    if (!reply.begin.empty()) {
      const bool keeps = co_await this->WriteBytes(socket, reply);
      if (!keeps) {
        break;
      }
      continue;
    }
    std::string answer = this->MakeAnswer(id, is_health_check, reply);
    const std::string copy =
        this->MakeAnswer(reply.copy_has_id ? id : "", is_health_check, reply);
    answer += std::exchange(behind_next, "");
    answer += reply.copy == AnswerCopy::kAtOnce ? copy : "";
    co_await boost::asio::async_write(socket, boost::asio::buffer(answer),
                                      kTask);
    if (reply.copy == AnswerCopy::kSoon) {
      co_await this->Sleep(kSoon);
      co_await boost::asio::async_write(socket, boost::asio::buffer(copy),
                                        kTask);
    }
    before_next = reply.copy == AnswerCopy::kBeforeNext ? copy : "";
    behind_next = reply.copy == AnswerCopy::kBehindNext ? copy : "";
    before_same[id] = reply.copy == AnswerCopy::kBeforeSame ? copy : "";
  }
  this->open.erase(&socket);
}

// @returns false if the connection ended within the body.
Task<bool> CopyingUpstream::State::ReadBody(Socket& socket,
                                            const std::string& head,
                                            std::string& received) {
  if (FieldOf(head, "Transfer-Encoding") == "chunked") {
    const auto [error, size] = co_await boost::asio::async_read_until(
        socket, boost::asio::dynamic_buffer(received), kLastChunk, kTask);
    received.erase(0, size);
    co_return !error;
  }
  const size_t length =
      ParseNumber<size_t>(FieldOf(head, "Content-Length")).value_or(0);
  NetError error;
  if (received.size() < length) {
    const auto [failed, size] = co_await boost::asio::async_read(
        socket, boost::asio::dynamic_buffer(received),
        boost::asio::transfer_exactly(length - received.size()), kTask);
    error = failed;
  }
  received.erase(0, length);
  co_return !error;
}

Task<void> CopyingUpstream::State::Repeat(Socket& socket,
                                          const UpstreamReply& reply) {
  std::string repeated;
  while (repeated.size() < kRepeatedBytes) {
    repeated += reply.repeated;
  }
  std::string next = reply.begin;
  NetError error;
  while (!error) {
    const auto [failed, size] = co_await boost::asio::async_write(
        socket, boost::asio::buffer(next), kTask);
    error = failed;
    next = repeated;
  }
}

// @returns true if the connection stays open.
Task<bool> CopyingUpstream::State::WriteBytes(Socket& socket,
                                              const UpstreamReply& reply) {
  // The last bytes and the reset go out together, so that the receiver finds
  // both at once.
  const size_t last = std::min(reply.begin.size(), kLastBytes);
  const std::string start = reply.begin.substr(0, reply.begin.size() - last);
  const std::string rest = reply.begin.substr(start.size());
  co_await boost::asio::async_write(socket, boost::asio::buffer(start), kTask);
  while (reply.may_end && !reply.may_end()) {
    co_await this->Sleep(kPoll);
  }
  NetError ignored;
  boost::asio::write(socket, boost::asio::buffer(rest), ignored);
  if (reply.after == AfterBytes::kResets) {
    CloseWithReset(socket);
  }
  co_return reply.after == AfterBytes::kKeeps;
}

Task<void> CopyingUpstream::State::Sleep(milliseconds time) {
  if (time.count() > 0) {
    Timer timer(this->run_on, time);
    co_await timer.async_wait(kTask);
  }
}

CopyingUpstream::CopyingUpstream(IoContext& context,
                                 HeaderNames names,
                                 std::function<UpstreamReply(bool)> choose,
                                 std::string instance)
    : state(std::make_shared<State>(context,
                                    std::move(names),
                                    std::move(choose),
                                    std::move(instance))) {
  boost::asio::co_spawn(context, this->state->Accept(), boost::asio::detached);
}

CopyingUpstream::~CopyingUpstream() {
  NetError ignored;
  this->state->acceptor.close(ignored);
  for (Socket* socket : this->state->open) {
    socket->close(ignored);
  }
}

Endpoint CopyingUpstream::endpoint() const {
  return FromTcpEndpoint(this->state->acceptor.local_endpoint());
}

const std::map<std::string, size_t>& CopyingUpstream::runs() const {
  return this->state->runs;
}

size_t CopyingUpstream::running() const {
  return this->state->running;
}

size_t CopyingUpstream::connections() const {
  return this->state->connections;
}

size_t CopyingUpstream::open_connections() const {
  return this->state->open.size();
}

}  // namespace basilsill::test
