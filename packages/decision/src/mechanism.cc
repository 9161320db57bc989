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
    Mechanism{"early-refusal", "What can't be met in time is refused at once.",
              InDispatcher<&Dispatch::early_refusal>},
    Mechanism{"late-behind", "What would miss its aim lets others pass.",
              InDispatcher<&Dispatch::late_behind>},
    Mechanism{"straggler", "Slow upstreams get less.",
              InDispatcher<&Dispatch::straggler>},
    Mechanism{"running-age", "What still runs is evidence of slowness.",
              InDispatcher<&Dispatch::running_age>},
    Mechanism{"fail-fast", "Upstreams that answer errors get less.",
              InDispatcher<&Dispatch::fail_fast>},
    Mechanism{"send-ahead", "Long queues fill the gaps between answers.",
              InDispatcher<&Dispatch::send_ahead>},
    Mechanism{"ramp", "New and returned upstreams start slowly.",
              InDispatcher<&Dispatch::ramp>},
    Mechanism{"shed-backoff", "An upstream that sheds is paused.",
              InDispatcher<&Dispatch::shed_backoff>},
    Mechanism{"shard-retry", "Requests are tried again inside a shard.",
              InDispatcher<&Dispatch::retry>},
    Mechanism{"hedge", "A slow attempt may be doubled.",
              InDispatcher<&Dispatch::hedge>},
    Mechanism{"speed", "Slow moments of upstreams are asked for, waited out.",
              InDispatcher<&Dispatch::speed>},
    Mechanism{"rate-limits", "Rate limits that upstreams name are kept.",
              InDispatcher<&Dispatch::rate_limits>},
    Mechanism{"spread", "Idle upstreams are asked before busy ones fill up.",
              InDispatcher<&Dispatch::spread>},
    Mechanism{"leave-slow", "Requests leave a data centre that is slow now.",
              InDispatcher<&Dispatch::leave_slow>},
    Mechanism{"slowness-limit", "Nothing starts where it ends too late.",
              InDispatcher<&Dispatch::slowness_limit>},
    Mechanism{"isolation", "Suspects of an upstream's death run alone.",
              InDispatcher<&Dispatch::isolation>},
    Mechanism{"overflow", "Requests may go to another data centre.",
              InEntry<&Entry::overflow>},
    Mechanism{"hand-back", "Dispatchers hand back what waits too long.",
              InEntry<&Entry::hand_back>},
    Mechanism{"entry-retry", "Requests are tried again at another shard.",
              InEntry<&Entry::retry>},
    Mechanism{"team-limits", "Teams are held to their limits.",
              InEntry<&Entry::limits>},
    Mechanism{"direct", "Without a dispatcher, requests go straight.",
              InEntry<&Entry::direct>},
    Mechanism{"silence", "A dispatcher that falls silent is passed over.",
              InEntry<&Entry::silence>},
    Mechanism{"quarantine", "Requests that kill upstreams are refused.",
              InPolicy<&PolicyFeatures::quarantine>},
    Mechanism{"hold-answers", "Answers are held until they are whole.",
              InPolicy<&PolicyFeatures::hold_answers>},
    Mechanism{"shared-start", "VMs that start are announced, told by others.",
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
