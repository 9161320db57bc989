#ifndef BASILSILL_NODE_HTTP_MESSAGE_H_
#define BASILSILL_NODE_HTTP_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "basilsill/base/reason.h"
#include "basilsill/decision/entry.h"
#include "net.h"

/// Requests and answers on their way through a node, apart from how they
/// came in or leave. Bodies are streamed between a source and a sink.

namespace basilsill {

using HttpFields = boost::beast::http::fields;

/// How a body is delimited.
enum class BodyKind : uint8_t {
  kNone,     ///< There is none.
  kLength,   ///< `length` bytes.
  kChunked,  ///< Chunks, perhaps with trailers.
  kUntilClose,
  kCount
};

struct BodyFraming {
  BodyKind kind = BodyKind::kNone;
  uint64_t length = 0;
};

/// One piece of a body as a source gives it.
struct BodyPiece {
  bool ok = true;    ///< False: the body broke before its end.
  bool last = true;  ///< Nothing follows.
  size_t size = 0;
};

/// Where a body comes from. Used by one coroutine at a time.
class BodySource {
 public:
  virtual ~BodySource() = default;

  /// Reads the next piece into `buffer`.
  virtual Task<BodyPiece> Read(std::span<char> buffer) = 0;

  /// Makes a running `Read` end with a broken piece.
  virtual void Stop() {}

  /// @returns the trailers that came after the last piece.
  virtual const HttpFields* trailers() const { return nullptr; }
};

/// A request as it is passed on. Belongs to the coroutine that serves it.
struct RequestMessage {
  std::string method;
  std::string target;
  HttpFields headers;  ///< Without hop-by-hop headers.
  BodyFraming framing;
  std::string whole_body;        ///< Filled if `source` is null.
  BodySource* source = nullptr;  ///< For bodies too long to hold.
  std::string request_id;

  RuleHandle rule;
  EntryRequest entry;  ///< What decisions look at.
  bool hedge = false;
  bool once = false;
  /// An answer is a good one until then; kNever: not known.
  TimePoint good_until = kNever;

  /// Set by whoever works on the request now; called when its caller has
  /// gone away.
  std::function<void()> on_caller_gone;
  bool caller_gone = false;
};

struct AnswerHead {
  unsigned status = 0;
  std::string reason;
  HttpFields headers;  ///< Without hop-by-hop headers.
  BodyFraming framing;
};

/// Where an answer goes. Each call returns false once the receiver is gone.
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

  /// The answer broke half-way; the receiver must see it broken.
  virtual void Break() = 0;
};

/// How one way of serving a request ended.
struct ServeOutcome {
  /// An answer was passed on, whole or visibly broken.
  bool answered = false;
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
  uint8_t sends = 0;  ///< To upstreams, as far as that is told.
  // What the upstream said, where the request was sent to it past dispatchers.
  AdvertisedRateLimit rate_limit{};
  bool drain_sign = false;  ///< It is leaving.
};

/// Removes hop-by-hop headers, those that `Connection` names among them.
void RemoveHopByHop(HttpFields& headers);

/// @returns the value of `name`, empty if absent.
std::string_view HeaderValue(const HttpFields& headers, std::string_view name);

/// Appends `headers` and the framing line in wire form, with the blank line.
void AppendHeaders(std::string& out,
                   const HttpFields& headers,
                   const BodyFraming& framing);

/// Appends the start line and headers of `head`.
void AppendAnswerHead(std::string& out,
                      const AnswerHead& head,
                      bool close_after);

/// What goes to an upstream besides the request's own headers.
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
