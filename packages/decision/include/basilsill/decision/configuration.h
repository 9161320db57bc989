#ifndef BASILSILL_DECISION_CONFIGURATION_H_
#define BASILSILL_DECISION_CONFIGURATION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/resource.h"

/// Configuration as every VM folds it from the log stream `configuration`.
///
/// A change is a record that names the version it is based on. All VMs fold
/// the same records in the same order, so of two racing changes the first in
/// the log wins on every VM and the other is a conflict on every VM. The
/// version of a resource is the offset of the record that last changed it.
///
/// | header                 | purpose                                     |
/// | ---------------------- | ------------------------------------------- |
/// | resource.h             | resources and their JSON form               |
/// | configuration.h        | records, the fold and its state             |
/// | checkpoint.h           | state as text: checkpoints, peer snapshots  |
/// | follower.h             | reading the log, gaps, initial state        |
/// | change_table.h         | a change from proposal to outcome           |
/// | configuration_status.h | in-force status and watch                   |
/// | view_builder.h         | builds RoutingView, also from membership    |
///
/// All of this is used by one thread, the control thread.

namespace basilsill {

/// Name of the log stream that holds configuration.
inline constexpr std::string_view kConfigurationStream = "configuration";

/// Format version of the records that this build writes; the newest that it
/// reads.
inline constexpr uint64_t kRecordFormat = 1;

/// A change of one resource, as requested by an operator.
struct Change {
  /// Unique over all VMs and never used for another change. 128 random bits,
  /// written as text, are sufficient.
  std::string id;
  ResourceId resource;
  /// Version that the change is based on; absent if the resource must not
  /// exist.
  std::optional<uint64_t> base;
  std::optional<Resource> body;  ///< Absent if the change deletes the resource.
  /// Offset of the next record to be read by the VM that made the change. Once
  /// more than limits::kChangeWindow further records are in the log, the change
  /// is stale and every VM ignores it.
  uint64_t seen = 0;
  /// Wall clock of the VM that received the change. For display only; no
  /// decision depends on it.
  WallTime made_at{};
};

/// @returns the record that encodes `change`.
std::string WriteChange(const Change& change);

/// Voids a change whose record comes after the withdrawal in the log. A change
/// whose record comes earlier is not affected.
struct Withdrawal {
  std::string id;
  uint64_t seen = 0;  ///< Change::seen of the change.
};

/// @returns the record that encodes `withdrawal`.
std::string WriteWithdrawal(const Withdrawal& withdrawal);

/// Result of folding a record; the same on all VMs.
enum class RecordVerdict : uint8_t {
  kAccepted,     ///< Applied to the state.
  kConflict,     ///< Based on a version that is not the current one.
  kRejected,     ///< Not valid in the state at its offset.
  kWithdrawn,    ///< A withdrawal that voids its change.
  kRepeated,     ///< An earlier record decided the same change id.
  kStale,        ///< More than limits::kChangeWindow after its `seen`.
  kMalformed,    ///< Not a valid configuration record.
  kCheckpoint,   ///< Part of a checkpoint; does not change the state.
  kUnsupported,  ///< Has a newer format; the fold stops before it.
  kOutOfOrder,   ///< Not at the next offset; ignored.
  kCount
};

/// @returns the stable name of `verdict`.
std::string_view NameOf(RecordVerdict verdict);

/// Outcome of folding one record.
struct RecordOutcome {
  RecordVerdict verdict = RecordVerdict::kCount;
  uint64_t offset = 0;
  std::string change_id;  ///< Empty if the record has none.
  ResourceId resource;
  /// Version of the resource after the record; absent if it does not exist.
  std::optional<uint64_t> version;
  /// The accepted resource; null if the change was a deletion or was not
  /// accepted.
  std::shared_ptr<const Resource> body;
  std::vector<Failure> failures;  ///< Reasons why the record was not accepted.
};

/// A resource and the record that last changed it.
struct ResourceEntry {
  uint64_t version = 0;
  std::string change_id;
  WallTime made_at{};  ///< Change::made_at of that change.
  std::shared_ptr<const Resource> resource;
  uint64_t digest = 0;  ///< Digest of the members above.
};
using ResourceTable = std::map<std::string, ResourceEntry, std::less<>>;

/// Decision on a change.
struct DecidedChange {
  uint64_t offset = 0;
  RecordVerdict verdict = RecordVerdict::kCount;
};

/// Orders endpoints by address and port.
struct EndpointLess {
  bool operator()(const Endpoint& a, const Endpoint& b) const {
    return std::tie(a.address, a.port) < std::tie(b.address, b.port);
  }
};

/// Complete content of a state, in no particular order.
struct ConfigurationContent {
  struct Decided {
    std::string change_id;
    DecidedChange decision;
  };

  uint64_t next_offset = 0;
  std::vector<ResourceEntry> entries;
  std::vector<Decided> changes;
};

/// Result of folding all records before `next_offset()`. Two states with the
/// same next offset have the same digest on all VMs.
class ConfigurationState {
 public:
  /// @returns the state that has `content`.
  static ConfigurationState Restore(const ConfigurationContent& content);
  ConfigurationContent Content() const;

  /// Updates a state whose resources are declared directly instead of being
  /// folded from records: removes `dropped`, and inserts `entries`, which
  /// replace resources of the same kind and name.
  void Declare(uint64_t next_offset,
               const std::vector<ResourceId>& dropped,
               std::vector<ResourceEntry> entries);

  /// Folds the record at `offset`, which must be `next_offset()`.
  RecordOutcome Apply(uint64_t offset, std::string_view record);

  /// Validates a change as Apply would if its record came next.
  /// @returns all faults; the first is of kind kConflict if the base is not the
  /// current version.
  std::vector<Failure> Check(const Change& change) const;

  /// @returns the resource, or nullptr.
  const ResourceEntry* Find(const ResourceId& id) const;
  const ResourceTable& Table(ResourceKind kind) const;

  /// @returns the resource's spec; `entry` must be of that kind.
  template <typename Spec>
  static const Spec& SpecOf(const ResourceEntry& entry) {
    return std::get<Spec>(entry.resource->spec);
  }

  /// @returns the decision on a change within the last limits::kChangeWindow
  /// records, or nullptr.
  const DecidedChange* FindChange(std::string_view change_id) const;

  /// @returns the decision on `change`, found by its id or, if the change made
  /// the current version of the resource, from that version; nothing if there
  /// is none or it is no longer known.
  std::optional<DecidedChange> DecisionOf(const Change& change) const;

  /// @returns the ratios that apply to team `team`.
  TrafficRatios RatiosOf(std::string_view team) const;

  /// @returns the names of the data centres that have upstream sets.
  std::vector<std::string> DataCentres() const;

  uint64_t next_offset() const { return this->next; }
  size_t instance_count() const { return this->set_of_endpoint.size(); }
  uint64_t digest() const;
  /// @returns a digest of the resources of `kind` alone, versions included.
  uint64_t digest(ResourceKind kind) const {
    return this->table_digests.at(static_cast<size_t>(kind));
  }

 private:
  bool Admit(const std::string& id,
             uint64_t seen,
             bool is_decided,
             RecordOutcome& outcome) const;
  void ApplyWithdrawal(const Withdrawal& withdrawal, RecordOutcome& outcome);
  void ApplyChange(const Change& change,
                   std::vector<Failure> body_failures,
                   RecordOutcome& outcome);

  void Accept(const Change& change, RecordOutcome& outcome);
  void Insert(ResourceEntry entry);
  void Erase(const ResourceId& id);
  void RecordDecision(const std::string& change_id, DecidedChange decided);
  void EvictOldDecisions();
  void IndexSet(const std::string& set, const UpstreamSetSpec& spec);
  void UnindexSet(const UpstreamSetSpec& spec);

  std::vector<Failure> CheckDelete(const ResourceId& id) const;
  void CheckCapacity(const ResourceId& id, std::vector<Failure>& out) const;
  void CheckSpec(const ResourceId& id,
                 const ResourceSpec& spec,
                 std::vector<Failure>& out) const;
  void CheckSet(const ResourceId& id,
                const UpstreamSetSpec& spec,
                std::vector<Failure>& out) const;
  void CheckRule(const ResourceId& id,
                 const RuleSpec& spec,
                 std::vector<Failure>& out) const;

  std::array<ResourceTable, static_cast<size_t>(ResourceKind::kCount)> tables;
  std::map<Endpoint, std::string, EndpointLess> set_of_endpoint;
  std::map<std::string, size_t> sets_of_data_centre;
  std::map<std::string, DecidedChange, std::less<>> decided_changes;
  std::map<uint64_t, std::string> change_at;  // Key: offset of the decision.
  uint64_t next = 0;
  std::array<uint64_t, static_cast<size_t>(ResourceKind::kCount)>
      table_digests{};
  uint64_t changes_digest = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CONFIGURATION_H_
