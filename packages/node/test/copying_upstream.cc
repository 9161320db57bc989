#include "copying_upstream.h"

#include <set>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "http_text.h"

namespace basilsill::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSoon{2};
// Size of one write of bytes without end.
constexpr size_t kRepeatedBytes = 4096;
const std::string kBlankLine = "\r\n\r\n";

}  // namespace

struct CopyingUpstream::State : std::enable_shared_from_this<State> {
  State(IoContext& context,
        HeaderNames names,
        std::function<UpstreamReply(bool)> choose)
      : run_on(context.get_executor()),
        acceptor(Listen(context, {"127.0.0.1", 0}, false).value()),
        names(std::move(names)),
        choose(std::move(choose)) {}

  Task<void> Accept();
  Task<void> Serve(Socket socket);
  Task<void> Repeat(Socket& socket, const UpstreamReply& reply);
  Task<void> Sleep(milliseconds time);
  std::string MakeAnswer(const std::string& id,
                         bool is_health_check,
                         bool rejects) const;

  Executor run_on;
  Acceptor acceptor;
  HeaderNames names;
  std::function<UpstreamReply(bool)> choose;
  std::map<std::string, size_t> runs;
  std::set<Socket*> open;
  size_t connections = 0;
};

std::string AnswerBodyOf(const std::string& id) {
  return "answer to " + id;
}

std::string CopyingUpstream::State::MakeAnswer(const std::string& id,
                                               bool is_health_check,
                                               bool rejects) const {
  std::string answer =
      rejects ? "HTTP/1.1 503 Service Unavailable\r\n" : "HTTP/1.1 200 OK\r\n";
  if (!id.empty()) {
    answer += this->names.request_id + ": " + id + "\r\n";
  }
  if (is_health_check) {
    answer += this->names.served_by + ": i-1\r\n";
    answer += this->names.load + ": 1,0,2\r\n";
    return answer + "Content-Length: 0\r\n\r\n";
  }
  if (rejects) {
    return answer + this->names.not_run + ": 1\r\nContent-Length: 0\r\n\r\n";
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
    if (!before_next.empty()) {
      const std::string copy = std::exchange(before_next, "");
      co_await boost::asio::async_write(socket, boost::asio::buffer(copy),
                                        kTask);
    }
    if (!is_health_check && !reply.rejects) {
      ++this->runs[id];
    }
    co_await this->Sleep(reply.work);
    if (!reply.repeated.empty()) {
      co_await this->Repeat(socket, reply);
      break;
    }
    std::string answer = this->MakeAnswer(id, is_health_check, reply.rejects);
    const std::string copy = this->MakeAnswer(reply.copy_has_id ? id : "",
                                              is_health_check, reply.rejects);
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
  }
  this->open.erase(&socket);
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

Task<void> CopyingUpstream::State::Sleep(milliseconds time) {
  if (time.count() > 0) {
    Timer timer(this->run_on, time);
    co_await timer.async_wait(kTask);
  }
}

CopyingUpstream::CopyingUpstream(IoContext& context,
                                 HeaderNames names,
                                 std::function<UpstreamReply(bool)> choose)
    : state(std::make_shared<State>(context,
                                    std::move(names),
                                    std::move(choose))) {
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

size_t CopyingUpstream::connections() const {
  return this->state->connections;
}

size_t CopyingUpstream::open_connections() const {
  return this->state->open.size();
}

}  // namespace basilsill::test
