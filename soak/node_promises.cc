#include "promise_checker.h"

#include <algorithm>
#include <map>

namespace basilsill::soak {
namespace {

constexpr size_t kMissesUntilViolation = 2;

constexpr unsigned kBadGateway = 502;

// The system ended the request without a response of an upstream and without
// stating whether an upstream executed it.
bool IsOutcomeUnknown(const RequestRow& row) {
  return row.outcome == RequestOutcome::kBroken ||
         (row.outcome == RequestOutcome::kAnswer && row.status == kBadGateway);
}

}  // namespace

// Applies to planned shutdowns without other faults. The node must answer
// every request that it has read completely, and close immediately on the
// others.
void PromiseChecker::CheckShutdown() {
  for (const Disturbance& end : this->observations.disturbances) {
    if (end.kind == DisturbanceKind::kShutdown) {
      this->CheckShutdown(end);
    }
  }
}

// A node that shuts down may dispatch for other nodes, so requests received
// by those count as well.
void PromiseChecker::CheckShutdown(const Disturbance& end) {
  for (const RequestRow& row : this->observations.requests) {
    const bool during = row.ended >= end.from && row.sent <= end.to;
    if (!during || !this->IsUndisturbedExceptShutdowns(row.sent, row.ended)) {
      continue;
    }
    const bool ran = !this->RunsOf(row.id).empty();
    const bool is_upstream_answer_withheld =
        row.outcome == RequestOutcome::kAnswer &&
        this->observations.unproven.contains(row.id);
    if (ran && IsOutcomeUnknown(row) && !is_upstream_answer_withheld) {
      this->Add(Promise::kShutdown, {row.id}, row.ended, "an upstream had it");
    } else if (end.node == row.node && this->IsClosedLate(row)) {
      this->Add(Promise::kShutdown, {row.id}, row.ended, "closed late");
    }
  }
}

// A pipelined request that was not forwarded may be closed at any time.
bool PromiseChecker::IsClosedLate(const RequestRow& row) const {
  return row.outcome == RequestOutcome::kBroken && !row.is_pipelined &&
         row.ended - row.sent > this->bounds.loss_slack + this->slack;
}

void PromiseChecker::CheckStaysUp() {
  for (const UnexpectedExit& end : this->observations.unexpected_exits) {
    this->Add(Promise::kStaysUp, {}, end.at,
              "node " + std::to_string(end.node));
  }
}

bool PromiseChecker::IsCut(size_t node, TimePoint at) const {
  return std::any_of(this->observations.cuts.begin(),
                     this->observations.cuts.end(),
                     [node, at](const CutRow& cut) {
                       return cut.node == node && at >= cut.from && at < cut.to;
                     });
}

// Leaves out what no node would serve: teams with a quota or a revoked key, and
// the route that comes and goes.
bool PromiseChecker::IsRelevantToCut(const RequestRow& row) const {
  return row.team == static_cast<size_t>(SoakTeam::kPlain) &&
         row.outcome != RequestOutcome::kCallerLeft &&
         row.outcome != RequestOutcome::kOpen && row.status != kNotFound &&
         this->IsNodeUndisturbed(row.node, row.sent, row.ended);
}

void PromiseChecker::CheckCutServed() {
  for (const CutRow& cut : this->observations.cuts) {
    this->CheckCutServed(cut);
  }
}

// Other faults of the same time harm the callers of the other nodes too.
// Without a node that reaches upstreams nothing can be served.
void PromiseChecker::CheckCutServed(const CutRow& cut) {
  const TimePoint from = cut.from + this->bounds.cut_delay + this->slack;
  ServedCount at_cut;
  ServedCount elsewhere;
  for (const RequestRow& row : this->observations.requests) {
    const bool is_cut = row.node == cut.node;
    if (row.sent < from || row.sent >= cut.to || !this->IsRelevantToCut(row) ||
        (!is_cut && this->IsCut(row.node, row.sent))) {
      continue;
    }
    ServedCount& count = is_cut ? at_cut : elsewhere;
    ++count.requests;
    count.failed += IsSuccess(row) ? 0 : 1;
  }
  if (elsewhere.requests == 0) {
    return;
  }
  const double usual = static_cast<double>(elsewhere.failed) /
                       static_cast<double>(elsewhere.requests);
  const double bound =
      this->bounds.cut_failures +
      (this->bounds.cut_excess * usual + this->bounds.cut_part) *
          static_cast<double>(at_cut.requests);
  if (static_cast<double>(at_cut.failed) > bound) {
    this->Add(Promise::kCutServed, {}, from,
              "node " + std::to_string(cut.node) + ", " +
                  std::to_string(at_cut.failed) + " of " +
                  std::to_string(at_cut.requests) + " failed, elsewhere " +
                  std::to_string(elsewhere.failed) + " of " +
                  std::to_string(elsewhere.requests));
  }
}

void PromiseChecker::CheckReadyTakes() {
  std::map<size_t, size_t> missed;  // Consecutive misses, by node.
  for (const ConnectionRow& row : this->observations.connections) {
    const bool is_answered =
        row.answered_after <= this->bounds.new_connection_answer + this->slack;
    const bool is_relevant =
        row.at + this->bounds.new_connection_answer + this->slack <
            this->observations.ended &&
        this->IsUndisturbed(
            {DisturbanceKind::kNode, DisturbanceKind::kShutdown}, row.node,
            row.at, row.at + this->bounds.new_connection_answer);
    missed[row.node] = is_answered || !is_relevant ? 0 : missed[row.node] + 1;
    if (missed[row.node] == kMissesUntilViolation) {
      this->Add(Promise::kReadyTakes, {}, row.at,
                "node " + std::to_string(row.node));
    }
  }
}

}  // namespace basilsill::soak
