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
/// A change is a record that names the version it was based on. All VMs fold
/// the same records in the same order, so of two racing changes the first in
/// the log wins everywhere and the other is a conflict everywhere. The
/// version of a resource is the offset of the record that made it.
///
/// | header                 | job                                         |
/// | ---------------------- | ------------------------------------------- |
/// | resource.h             | resources and their JSON form               |
/// | configuration.h        | records, the fold and its state             |
/// | checkpoint.h           | state as text: checkpoints, peer snapshots  |
/// | follower.h             | where to read, gaps, where state comes from |
/// | change_table.h         | a change from proposal to outcome           |
/// | configuration_status.h | in-force status and watch                   |
/// | view_builder.h         | from state and membership to RoutingView    |
///
/// Everything here belongs to one thread, the control thread.

namespace basilsill {

/// The log stream that holds configuration.
inline constexpr std::string_view kConfigurationStream = "configuration";

/// The form of records that this build writes, and the newest it reads.
inline constexpr uint64_t kRecordFormat = 1;

/// One change of one resource, as an operator asks for it.
struct Change {
  /// Names this change alone, on all VMs and for ever; 128 random bits as
  /// text do. The id of a change must never be used for another one.
  std::string id;
  ResourceId resource;
  /// Version that the change is based on; absent if there must be none.
  std::optional<uint64_t> base;
  std::optional<Resource> body;  ///< Absent if the resource is to be deleted.
  /// Next offset to be read where the change was made. The change is stale,
  /// and ignored by all, once limits::kChangeWindow more records follow.
  uint64_t seen = 0;
  /// Clock of the VM that took the change, for operators to read. Nothing is
  /// decided by it.
  WallTime made_at{};
};

/// @returns the record of `change`.
std::string WriteChange(const Change& change);

/// Makes a change void wherever it comes up after this record. A change that
/// stands in the log before it is not touched.
struct Withdrawal {
  std::string id;
  uint64_t seen = 0;  ///< Change::seen of the change.
};

/// @returns the record of `withdrawal`.
std::string WriteWithdrawal(const Withdrawal& withdrawal);

/// What the fold made of a record. All VMs come to the same verdict.
enum class RecordVerdict : uint8_t {
  kAccepted,     ///< In the state from here on.
  kConflict,     ///< Based on a version that is not the current one.
  kRejected,     ///< Not valid in the state at its place in the log.
  kWithdrawn,    ///< Made the change void before it came up.
  kRepeated,     ///< Its change id was decided by an earlier record.
  kStale,        ///< Too far behind its `seen` to be considered.
  kMalformed,    ///< No record of ours.
  kCheckpoint,   ///< Part of a checkpoint; says nothing new to a fold.
  kUnsupported,  ///< Of a newer format; the fold stops before it.
  kOutOfOrder,   ///< Not at the next offset; nothing was done.
  kCount
};

/// @returns the stable name of `verdict`.
std::string_view NameOf(RecordVerdict verdict);

/// What became of one record.
struct RecordOutcome {
  RecordVerdict verdict = RecordVerdict::kCount;
  uint64_t offset = 0;
  std::string change_id;  ///< Empty if the record has none.
  ResourceId resource;
  /// Version of the resource after the record; absent if there is none.
  std::optional<uint64_t> version;
  /// The resource as accepted; null if it was deleted or not accepted.
  std::shared_ptr<const Resource> body;
  std::vector<Failure> failures;  ///< Why, unless it was accepted.
};

/// A resource with its place in the log.
struct ResourceEntry {
  uint64_t version = 0;
  std::string change_id;
  WallTime made_at{};  ///< Change::made_at of that change.
  std::shared_ptr<const Resource> resource;
  uint64_t digest = 0;  ///< Of the members above.
};
using ResourceTable = std::map<std::string, ResourceEntry, std::less<>>;

/// How a change was decided.
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

/// All that a state consists of, in no particular order.
struct ConfigurationContent {
  struct Decided {
    std::string change_id;
    DecidedChange decision;
  };

  uint64_t next_offset = 0;
  std::vector<ResourceEntry> entries;
  std::vector<Decided> changes;
};

/// The fold of all records before `next_offset()`. Two states with the same
/// next offset have the same digest on all VMs.
class ConfigurationState {
 public:
  /// @returns the state that has `content`.
  static ConfigurationState Restore(const ConfigurationContent& content);
  ConfigurationContent Content() const;

  /// Brings a state up to date that is declared whole and not folded from
  /// records: takes `dropped` away, and puts `entries` in the place of what has
  /// their names.
  void Declare(uint64_t next_offset,
               const std::vector<ResourceId>& dropped,
               std::vector<ResourceEntry> entries);

  /// Folds the record at `offset`, which must be `next_offset()`.
  RecordOutcome Apply(uint64_t offset, std::string_view record);

  /// Checks a change as Apply would if its record came next.
  /// @returns all that stands against it; the first is of kind kConflict if
  /// the base is not the current version.
  std::vector<Failure> Check(const Change& change) const;

  /// @returns the resource, or nullptr.
  const ResourceEntry* Find(const ResourceId& id) const;
  const ResourceTable& Table(ResourceKind kind) const;

  /// @returns the resource's spec; `entry` must be of that kind.
  template <typename Spec>
  static const Spec& SpecOf(const ResourceEntry& entry) {
    return std::get<Spec>(entry.resource->spec);
  }

  /// @returns how a change within the last limits::kChangeWindow records was
  /// decided, or nullptr.
  const DecidedChange* FindChange(std::string_view change_id) const;

  /// @returns how `change` was decided: remembered by its id, or plain from
  /// the resource, which it made what it is.
  std::optional<DecidedChange> DecisionOf(const Change& change) const;

  /// @returns the ratios in force for the team called `team`.
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
  void Remember(const std::string& change_id, DecidedChange decided);
  void ForgetOldChanges();
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
  std::map<uint64_t, std::string> change_at;  // By offset of the decision.
  uint64_t next = 0;
  std::array<uint64_t, static_cast<size_t>(ResourceKind::kCount)>
      table_digests{};
  uint64_t changes_digest = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CONFIGURATION_H_
