#ifndef BASILSILL_NODE_HTTP_MESSAGE_H_
#define BASILSILL_NODE_HTTP_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

#include "basilsill/base/reason.h"
#include "basilsill/decision/entry.h"
#include "net.h"
#include "send_record.h"

/// Requests and answers that pass through a node, independent of the connection
/// that they arrived on or leave by. Bodies are streamed from a source to a
/// sink.

namespace basilsill {

using HttpFields = boost::beast::http::fields;

/// How a body is delimited.
enum class BodyKind : uint8_t {
  kNone,     ///< No body.
  kLength,   ///< `length` bytes.
  kChunked,  ///< Chunks, optionally with trailers.
  kUntilClose,
  kCount
};

struct BodyFraming {
  BodyKind kind = BodyKind::kNone;
  uint64_t length = 0;
};

/// One piece of a body, as read from a source.
struct BodyPiece {
  bool ok = true;    ///< False: the body broke off before its end.
  bool last = true;  ///< The body ends with this piece.
  size_t size = 0;
};

/// Source of a body. Used by one coroutine at a time.
class BodySource {
 public:
  virtual ~BodySource() = default;

  /// Reads the next piece into `buffer`.
  virtual Task<BodyPiece> Read(std::span<char> buffer) = 0;

  /// Makes a pending `Read` return a piece that is not `ok`.
  virtual void Stop() {}

  /// @returns the trailers after the last piece, or nullptr.
  virtual const HttpFields* trailers() const { return nullptr; }
};

/// A dispatcher, or an upstream on the direct path, that was asked to serve a
/// request and did not.
struct FailedChoice {
  Target target;
  Refusal refusal = Refusal::kNone;
  uint8_t sends = 0;  ///< Times it was sent to upstreams there, if reported.
};

/// A request that is passed on. Belongs to the coroutine that serves it.
struct RequestMessage {
  std::string method;
  std::string target;
  HttpFields headers;  ///< Without hop-by-hop headers.
  BodyFraming framing;
  std::string whole_body;        ///< Filled if `source` is null.
  BodySource* source = nullptr;  ///< For bodies too long to buffer.
  std::string request_id;

  RuleHandle rule;
  EntryRequest entry;  ///< The properties that routing uses.
  bool hedge = false;
  bool once = false;
  /// Latency target: an answer after this time is worth little; kNever: none.
  TimePoint good_until = kNever;

  std::vector<FailedChoice> failed_choices;  ///< In order, at the entry VM.
  SendRecord sends;

  /// Set by the component that works on the request at the moment; called when
  /// the caller has disconnected.
  std::function<void()> on_caller_gone;
  /// Set by the component that works on the request at the moment; called when
  /// the caller's VM shuts down. Ends the request as not run, unless an
  /// upstream has it.
  std::function<void()> on_withdrawn;
  bool withdrawn = false;  ///< It is sent to no further place.
  /// Set by the component that works on the request at the moment.
  /// @returns true once the complete answer is held in this process.
  std::function<bool()> has_whole_answer;
  bool caller_gone = false;
};

/// Takes `request` back, unless an upstream has it.
void Withdraw(RequestMessage& request);

struct AnswerHead {
  unsigned status = 0;
  std::string reason;
  HttpFields headers;  ///< Without hop-by-hop headers.
  BodyFraming framing;
};

/// Destination of an answer. `Start` and `Continue` return false once the
/// receiver has disconnected.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;

  /// Sends the head with the first piece of the body.
  virtual Task<bool> Start(const AnswerHead& head,
                           std::span<const char> piece,
                           bool last) = 0;

  /// Sends a further piece.
  /// @param trailers Sent after the last piece, may be null.
  virtual Task<bool> Continue(std::span<const char> piece,
                              bool last,
                              const HttpFields* trailers) = 0;

  /// Breaks the answer off so that the receiver sees that it is incomplete.
  virtual void Break() = 0;
};

/// How the serving of a request at one place ended.
struct ServeOutcome {
  /// An answer was passed on, complete or visibly broken off.
  bool answered = false;
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
  uint8_t sends = 0;  ///< Times it was sent to upstreams, if reported.
  RefusalSource source = RefusalSource::kEntry;  ///< Of `refusal`.
  // Reported by the upstream, if the request was sent to it directly, without a
  // dispatcher.
  AdvertisedRateLimit rate_limit{};
};

/// Removes hop-by-hop headers, including those that `Connection` names, and
/// Content-Length.
void RemoveHopByHop(HttpFields& headers);

/// @returns the first value of `name`, empty if absent.
std::string_view HeaderValue(const HttpFields& headers, std::string_view name);

/// Appends `headers` and the framing header in wire format, with the blank line
/// that ends the head.
void AppendHeaders(std::string& out,
                   const HttpFields& headers,
                   const BodyFraming& framing);

/// Appends the start line and headers of `head`.
void AppendAnswerHead(std::string& out,
                      const AnswerHead& head,
                      bool close_after);

/// Headers for the upstream in addition to those of the request.
struct UpstreamHead {
  std::string_view deadline_name;
  std::chrono::milliseconds remaining{0};  ///< Until the deadline.
  std::string_view expected_name;          ///< Empty: not sent.
  std::string_view expected_instance;
};

/// Appends the start line and headers of `request`.
void AppendRequestHead(std::string& out,
                       const RequestMessage& request,
                       const UpstreamHead& upstream);

}  // namespace basilsill

#endif  // BASILSILL_NODE_HTTP_MESSAGE_H_
