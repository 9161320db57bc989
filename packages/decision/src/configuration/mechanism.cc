#include "basilsill/decision/mechanism.h"

#include <algorithm>
#include <array>

namespace basilsill {
namespace {

template <auto Member>
bool& InDispatcher(PolicyFeatures& features) {
  return features.dispatcher.*Member;
}

template <auto Member>
bool& InEntry(PolicyFeatures& features) {
  return features.entry.*Member;
}

template <auto Member>
bool& InPolicy(PolicyFeatures& features) {
  return features.*Member;
}

using Dispatch = DispatcherFeatures;
using Entry = EntryFeatures;

constexpr std::array kMechanisms = {
    Mechanism{"fair-queue", "Queues are fair among teams and classes.",
              InDispatcher<&Dispatch::fair_queue>},
    Mechanism{"class-caps", "Bulk and background requests hold few slots.",
              InDispatcher<&Dispatch::class_caps>},
    Mechanism{"reserve", "Slots are kept for urgent and ordinary requests.",
              InDispatcher<&Dispatch::reserve>},
    Mechanism{"early-refusal",
              "Requests that can't end in time are refused at once.",
              InDispatcher<&Dispatch::early_refusal>},
    Mechanism{"late-behind", "Requests past their latency target go last.",
              InDispatcher<&Dispatch::late_behind>},
    Mechanism{"straggler", "Slow upstreams get fewer requests.",
              InDispatcher<&Dispatch::straggler>},
    Mechanism{"running-age", "Running requests are evidence of slowness.",
              InDispatcher<&Dispatch::running_age>},
    Mechanism{"fail-fast", "Upstreams that answer errors get fewer requests.",
              InDispatcher<&Dispatch::fail_fast>},
    Mechanism{"send-ahead", "Long queues send one request beyond the slots.",
              InDispatcher<&Dispatch::send_ahead>},
    Mechanism{"ramp", "New and returned upstreams start slowly.",
              InDispatcher<&Dispatch::ramp>},
    Mechanism{"shed-backoff", "An upstream that sheds is paused.",
              InDispatcher<&Dispatch::shed_backoff>},
    Mechanism{"shed-triage", "Reactions to sheds depend on their cause.",
              InDispatcher<&Dispatch::shed_triage>},
    Mechanism{"shard-retry", "Requests are retried inside a shard.",
              InDispatcher<&Dispatch::retry>},
    Mechanism{"hedge", "A slow attempt may get a second one.",
              InDispatcher<&Dispatch::hedge>},
    Mechanism{"speed", "Requests wait until upstreams are fast again.",
              InDispatcher<&Dispatch::speed>},
    Mechanism{"rate-limits", "Rate limits that upstreams report are respected.",
              InDispatcher<&Dispatch::rate_limits>},
    Mechanism{"spread", "Idle upstreams are preferred to busy ones.",
              InDispatcher<&Dispatch::spread>},
    Mechanism{"leave-slow", "Requests leave a data centre that is slow now.",
              InDispatcher<&Dispatch::leave_slow>},
    Mechanism{"slowness-limit",
              "No request starts at an upstream where it ends too late.",
              InDispatcher<&Dispatch::slowness_limit>},
    Mechanism{"isolation", "Suspects of an upstream crash run alone.",
              InDispatcher<&Dispatch::isolation>},
    Mechanism{"overflow", "Requests may go to another data centre.",
              InEntry<&Entry::overflow>},
    Mechanism{"hand-back", "Dispatchers hand back requests that wait too long.",
              InEntry<&Entry::hand_back>},
    Mechanism{"entry-retry", "Requests are retried at another shard.",
              InEntry<&Entry::retry>},
    Mechanism{"team-limits", "Teams are held to their limits.",
              InEntry<&Entry::limits>},
    Mechanism{"direct", "Without a dispatcher, requests go to upstreams.",
              InEntry<&Entry::direct>},
    Mechanism{"silence", "A dispatcher that does not answer is skipped.",
              InEntry<&Entry::silence>},
    Mechanism{"quarantine", "Requests that crash upstreams are refused.",
              InPolicy<&PolicyFeatures::quarantine>},
    Mechanism{"hold-answers", "Answers are held until they are complete.",
              InPolicy<&PolicyFeatures::hold_answers>},
    Mechanism{"shared-start", "Running VMs register and inform starting ones.",
              InPolicy<&PolicyFeatures::shared_start>},
};

const Mechanism* Find(std::string_view name) {
  const auto found = std::find_if(
      kMechanisms.begin(), kMechanisms.end(),
      [name](const Mechanism& known) { return known.name == name; });
  return found == kMechanisms.end() ? nullptr : &*found;
}

}  // namespace

std::span<const Mechanism> AllMechanisms() {
  return kMechanisms;
}

Result<PolicyFeatures> FeaturesWithout(std::string_view names) {
  PolicyFeatures features;
  while (!names.empty()) {
    const size_t comma = std::min(names.find(','), names.size());
    const std::string_view name = names.substr(0, comma);
    names.remove_prefix(std::min(comma + 1, names.size()));
    const Mechanism* mechanism = Find(name);
    if (mechanism == nullptr) {
      return Failure{FailureKind::kOutOfRange, "without",
                     "no mechanism is called '" + std::string(name) + "'"};
    }
    mechanism->flag(features) = false;
  }
  return features;
}

std::string NamesOff(const PolicyFeatures& features) {
  PolicyFeatures copy = features;
  std::string names;
  for (const Mechanism& mechanism : kMechanisms) {
    if (!mechanism.flag(copy)) {
      names += names.empty() ? "" : ",";
      names += mechanism.name;
    }
  }
  return names;
}

}  // namespace basilsill
