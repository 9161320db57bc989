#include "request_log.h"

#include <chrono>
#include <string>

#include "basilsill/node/log.h"

namespace basilsill {
namespace {

constexpr std::string_view kDirectPath = "direct";

std::string_view NameOfChoice(const RoutingView& view, const Target& target) {
  const VmRow* vm = FindVm(view, target.vm);
  return vm == nullptr ? kDirectPath : std::string_view(vm->name);
}

std::string DescribeChoices(const RoutingView& view,
                            const RequestMessage& request) {
  std::string text;
  for (const FailedChoice& choice : request.failed_choices) {
    text += text.empty() ? "" : ",";
    text += NameOfChoice(view, choice.target);
    text += ':';
    text += InfoOf(choice.refusal).name;
  }
  return text;
}

uint32_t CountSends(const RequestMessage& request) {
  uint32_t sends = 0;
  for (const FailedChoice& choice : request.failed_choices) {
    sends += choice.sends;
  }
  return sends;
}

}  // namespace

void LogRequestEnd(Event event,
                   const RoutingView& view,
                   const RequestMessage& request,
                   std::string_view team,
                   const RequestEnd& end) {
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(end.elapsed);
  Log(event, {{"request", request.request_id},
              {"reason", end.refusal},
              {"source", NameOf(end.source)},
              {"repeatable", request.entry.idempotent},
              {"sends", CountSends(request)},
              {"class", NameOf(request.entry.traffic_class)},
              {"team", team},
              {"elapsed_ms", elapsed.count()},
              {"asked", DescribeChoices(view, request)}});
}

}  // namespace basilsill
