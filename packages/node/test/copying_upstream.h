#ifndef BASILSILL_NODE_TEST_COPYING_UPSTREAM_H_
#define BASILSILL_NODE_TEST_COPYING_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "basilsill/base/endpoint.h"
#include "basilsill/node/installation.h"
#include "http_message.h"
#include "net.h"

/// An upstream that sends some of its answers twice, or bytes without end.

namespace basilsill::test {

/// When an answer is sent a second time.
enum class AnswerCopy : uint8_t {
  kNone,
  kAtOnce,      ///< With the answer.
  kSoon,        ///< Some milliseconds later.
  kBeforeNext,  ///< When the next answer on the connection is due.
  kBehindNext,  ///< With the next answer on the connection, after it.
  kBeforeSame,  ///< When the same request comes again on the connection.
  kCount
};

/// What becomes of a request whose answer is not sent.
enum class LostAnswer : uint8_t {
  kNone,       ///< It is sent.
  kReset,      ///< The connection is reset after the request has run.
  kClosed,     ///< The connection is closed after the request has run.
  kNeverSent,  ///< The request runs, and the connection stays open.
  kCount
};

/// What the upstream does with a connection after bytes of its own.
enum class AfterBytes : uint8_t { kKeeps, kCloses, kResets, kCount };

struct UpstreamReply {
  bool rejects = false;      ///< The request does not run.
  unsigned status = 0;       ///< Of the answer; 0: 503 if it rejects, else 200.
  bool says_not_run = true;  ///< A rejection has the header that says so.
  LostAnswer lost = LostAnswer::kNone;
  AnswerCopy copy = AnswerCopy::kNone;
  bool copy_has_id = true;
  std::chrono::milliseconds work{0};
  /// If not empty, the upstream sends these bytes instead of an answer.
  std::string begin{};
  /// If not empty, the upstream sends `begin` and then this again and again,
  /// until the connection is closed.
  std::string repeated{};
  /// Otherwise what the upstream does after `begin`.
  AfterBytes after = AfterBytes::kKeeps;
  /// If set, the upstream waits for it before the last of these bytes.
  std::function<bool()> may_end{};
  bool leaves_body_unread = false;  ///< Of the request.
};

class CopyingUpstream {
 public:
  /// @param choose Called for each request, also for health checks, whose
  /// answer says that the upstream is not healthy if it `rejects`.
  /// @param instance Its instance id, in answers to health checks.
  CopyingUpstream(IoContext& context,
                  HeaderNames names,
                  std::function<UpstreamReply(bool is_health_check)> choose,
                  std::string instance = "i-1");
  ~CopyingUpstream();

  Endpoint endpoint() const;

  /// @returns how many times each request has run.
  const std::map<std::string, size_t>& runs() const;

  /// @returns the number of requests that run now.
  size_t running() const;

  /// @returns the number of connections that were opened.
  size_t connections() const;

  /// @returns the number of connections that are open.
  size_t open_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

/// @returns the body of the answer to request `id`.
std::string AnswerBodyOf(const std::string& id);

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_COPYING_UPSTREAM_H_
