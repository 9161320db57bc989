#include "promise_checker.h"

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
    if (ran && IsOutcomeUnknown(row)) {
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
