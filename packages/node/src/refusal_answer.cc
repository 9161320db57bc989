#include "refusal_answer.h"

#include <algorithm>
#include <chrono>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "basilsill/node/log.h"

namespace basilsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Used if the refusal gives no time; long enough that a refused caller does not
// retry within the burst that caused the refusal.
constexpr milliseconds kDefaultRetryAfter{250};

// HTTP requires a WWW-Authenticate header with this status.
constexpr unsigned kUnauthorized = 401;

milliseconds RetryAfter(const ServeOutcome& outcome) {
  const auto requested = std::chrono::ceil<milliseconds>(outcome.retry_after);
  return requested > milliseconds(0) ? requested : kDefaultRetryAfter;
}

std::string RetryAfterText(const ServeOutcome& outcome,
                           const HeaderNames& names) {
  const milliseconds after = RetryAfter(outcome);
  if (!names.fractional_retry_after) {
    return std::to_string(std::chrono::ceil<seconds>(after).count());
  }
  std::string thousandths = std::to_string(after.count() % 1000);
  thousandths.insert(0, 3 - thousandths.size(), '0');
  return std::to_string(after.count() / 1000) + "." + thousandths;
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

ServeOutcome WithoutFalsePromise(const RequestMessage& request,
                                 uint32_t unsettled_before,
                                 const ServeOutcome& outcome,
                                 WorkerMetrics& counts) {
  const Promise promise = InfoOf(outcome.refusal).promise;
  if (outcome.answered || promise != Promise::kNotRun ||
      request.sends.unsettled() <= unsettled_before) {
    return outcome;
  }
  Log(Event::kPromiseWithheld,
      {{"request", request.request_id}, {"reason", outcome.refusal}});
  counts.withheld_promises.Add();
  ServeOutcome unknown = outcome;
  unknown.refusal = Refusal::kUpstreamDied;
  return unknown;
}

RefusalAnswer MakeRefusalAnswer(const RequestMessage& request,
                                const ServeOutcome& outcome,
                                const HeaderNames& names) {
  const RefusalInfo& info = InfoOf(outcome.refusal);
  RefusalAnswer answer;
  answer.body = MakeRefusalBody(request, outcome);
  AnswerHead& head = answer.head;
  head.status = info.status;
  head.headers.set("Content-Type", "application/json");
  head.headers.set(names.request_id, request.request_id);
  head.headers.set(names.promise, NameOf(info.promise));
  head.headers.set(names.reason, info.name);
  if (info.status == kUnauthorized) {
    head.headers.set("WWW-Authenticate", "ApiKey");
  }
  if (info.retry_after) {
    head.headers.set("Retry-After", RetryAfterText(outcome, names));
  }
  head.framing = {BodyKind::kLength, answer.body.size()};
  return answer;
}

}  // namespace basilsill
