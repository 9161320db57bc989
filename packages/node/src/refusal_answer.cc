#include "refusal_answer.h"

#include <algorithm>
#include <chrono>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace basilsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Told when nothing better is known; long enough that a refused caller does
// not come back within the burst that refused it.
constexpr milliseconds kDefaultRetryAfter{250};

milliseconds RetryAfter(const ServeOutcome& outcome) {
  const auto told = std::chrono::ceil<milliseconds>(outcome.retry_after);
  return told > milliseconds(0) ? told : kDefaultRetryAfter;
}

std::string MakeRefusalBody(const RequestMessage& request,
                            const ServeOutcome& outcome) {
  const RefusalInfo& info = InfoOf(outcome.refusal);
  boost::json::object body;
  body["reason"] = info.name;
  body["promise"] = NameOf(info.promise);
  body["request_id"] = request.request_id;
  if (info.retry_after) {
    body["retry_after_ms"] = RetryAfter(outcome).count();
  }
  return boost::json::serialize(body) + "\n";
}

}  // namespace

RefusalAnswer MakeRefusalAnswer(const RequestMessage& request,
                                const ServeOutcome& outcome) {
  const RefusalInfo& info = InfoOf(outcome.refusal);
  RefusalAnswer answer;
  answer.body = MakeRefusalBody(request, outcome);
  AnswerHead& head = answer.head;
  head.status = info.status;
  head.headers.set("Content-Type", "application/json");
  head.headers.set("X-Request-Id", request.request_id);
  head.headers.set("Basilsill-Promise", NameOf(info.promise));
  head.headers.set("Basilsill-Reason", info.name);
  if (info.retry_after) {
    const auto whole = std::chrono::ceil<seconds>(RetryAfter(outcome));
    head.headers.set("Retry-After", std::to_string(whole.count()));
  }
  head.framing = {BodyKind::kLength, answer.body.size()};
  return answer;
}

}  // namespace basilsill
