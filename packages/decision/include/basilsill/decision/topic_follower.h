#ifndef BASILSILL_DECISION_TOPIC_FOLLOWER_H_
#define BASILSILL_DECISION_TOPIC_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "basilsill/base/log_position.h"
#include "basilsill/base/time.h"

/// Keeps up with one topic of the platform's record store: it lists the newest
/// record of each key, then reads the records appended since, and lists again
/// if the records to be read next have been trimmed. Pure; the host makes the
/// calls.
///
/// Many VMs follow the same topics, and one read serves all of them: a VM that
/// has read sends an update (StateNews) to the others. Each VM reads only if it
/// has received no update for a delay that grows with its rank in an order
/// common to all VMs. So the first VM reads, and the second takes over when the
/// first falls silent, without any agreement between them. A VM that receives
/// no updates, whatever the cause, reads for itself soon enough to meet every
/// bound on staleness.
///
/// The store may be restored from a copy, which begins a new era. A VM that has
/// read the topic in an earlier era then lacks what was written since the copy
/// was made, and has records that the copy lacks. It either lists the topic
/// again, or gets an update that begins in the era before and ends in the new
/// one; only the VM that reads for the fleet needs to list.

namespace basilsill {

enum class TopicCallKind : uint8_t {
  kListNewest,       ///< The newest record of each key after `after`.
  kReadOn,           ///< Records from position `from`.
  kRequestFromPeer,  ///< Ask a relay VM for records from position `from`.
  kCount
};

/// The next call to make.
struct TopicCall {
  /// How long the store may hold the read until there is a record (long poll).
  Duration hold{0};
  TopicCallKind kind = TopicCallKind::kListNewest;
  std::string after;
  LogPosition from;
  size_t max_bytes = 0;  ///< Limit on the answer to a read.
};

struct TopicFollowerOptions {
  /// Time between two reads of the VM that reads for the fleet (rank 0).
  Duration interval{0};
  /// Replaces `interval` while new records keep coming; 0: not used.
  Duration busy_interval{0};
  /// Replaces `interval` while the topic has no record; 0: not used.
  Duration empty_interval{0};
  /// How long the store holds a read of the VM that reads for the fleet, so
  /// that the VM receives a new record at once; 0: reads are not held. With
  /// held reads that VM reads continuously.
  Duration hold{0};
  /// The longest time that any VM waits for an update before it reads.
  Duration max_silence{0};
  /// Replaces `max_silence` while this VM's own calls show that the store is
  /// degraded; also the longest time between two retries of a VM of high rank.
  Duration degraded_max_silence{0};
  Duration retry_min = std::chrono::milliseconds(100);
  /// The longest time between two retries of the first VM, and of a VM that has
  /// not listed the topic yet.
  Duration retry_max = std::chrono::milliseconds(400);
  /// The topic has so many records that the store could not serve reads of many
  /// VMs. VMs that are not relays ask their relays before they read.
  bool is_bulk = false;
};

class TopicFollower {
 public:
  explicit TopicFollower(const TopicFollowerOptions& options);

  TopicCall NextCall() const;

  /// @returns when the call returned by `NextCall` is due.
  TimePoint due() const { return this->next_at; }

  /// Delays the first call to `at` (see StartListingDelay).
  void StartAt(TimePoint at) { this->next_at = at; }

  /// A page of the listing of newest records arrived.
  /// @param end Position after the last record of the topic when the page was
  /// made.
  /// @param last_key Last key of the page; empty if the page is empty.
  /// @returns true if the listing is complete now.
  bool OnPage(TimePoint now, LogPosition end, bool more, std::string last_key);

  /// A read returned the records before `next`, of a topic that ends at `end`.
  void OnRecords(TimePoint now, LogPosition next, LogPosition end);

  /// The store is in `era`, as an answer to any call or another VM shows.
  void OnEra(TimePoint now, uint64_t era);

  /// A peer was sent a request for the records that this VM may lack.
  void OnPeerRequestSent(TimePoint now);

  /// The peer declined: it has received nothing new itself, or this VM is too
  /// far behind.
  void OnPeerDeclined(TimePoint now);

  /// Sets whether there are peers to ask.
  void SetPeers(bool has_peers) { this->has_peers = has_peers; }

  /// Another VM sent the records from position `first` up to `next`.
  /// @returns true if the records must be applied: they contain something new
  /// and leave no gap. False if they are known, or if records before `first`
  /// are missing here; in that case the next read is due at once.
  bool OnPeerUpdate(TimePoint now, LogPosition first, LogPosition next);

  /// Sets the number of VMs before this one in the common order.
  void SetRank(size_t rank) { this->rank = rank; }

  /// The records to be read next have been trimmed; the topic is listed again.
  void OnTrimmed(TimePoint now);

  /// The call that was made at `begun` failed or got no answer.
  void OnFailed(TimePoint now, TimePoint begun);

  /// The store answered a call for another topic. After failed calls, the next
  /// one no longer waits for the VM's turn.
  void OnStoreAnswered(TimePoint now);

  /// A call was answered after `took`, without the time for which it was held.
  void OnCallLatency(TimePoint now, Duration took);

  /// @returns true once a listing has been completed.
  bool is_fully_listed() const { return this->listed_once; }

  /// @returns true while no record before `position()` is known to be missing.
  bool is_gapless() const {
    return this->listed_once && !this->listing && !this->is_era_over();
  }

  /// @returns true if the store was restored since this VM last got records.
  bool is_era_over() const {
    return this->listed_once && this->store_era > this->from.era;
  }

  /// @returns true if this VM had all records at some time within the last
  /// `max_silence`.
  bool is_fresh(TimePoint now) const;

  /// @returns true if the last call was answered.
  bool available() const { return this->failures == 0; }

  LogPosition position() const { return this->from; }

  /// Starts an update to the other VMs, which contains the records from the
  /// returned position up to `position()`. It leaves out the records before
  /// `settled()`, which every VM that recently received an update has, and
  /// those that the last two updates contained: a VM that missed both detects
  /// the gap and reads for itself. Without the latter rule each record would be
  /// sent four to five times over the links to all VMs.
  LogPosition BeginUpdate();

  /// Starts to forward an update that covers the records from `first` up to
  /// `next`.
  /// @returns the position from which on it must contain records: `next` if
  /// this VM has sent or forwarded them already.
  LogPosition BeginForward(LogPosition first, LogPosition next);

  /// @returns a position such that every VM that recently received an update
  /// has all records before it.
  LogPosition settled() const { return this->settled_position; }

  /// @returns a position some seconds old. Records from it on are retained for
  /// VMs that were frozen or without links for a shorter time.
  LogPosition retained() const { return this->retained_position; }

 private:
  Duration ReadDelay(TimePoint now) const;
  Duration Interval(TimePoint now) const;
  bool CanHoldRead() const;
  Duration RetryPause() const;
  /// @returns a duration between `first` and `last` that grows with the VM's
  /// rank.
  Duration ByRank(Duration first, Duration last) const;
  void BeginAt(TimePoint now, LogPosition end);
  void Advance(TimePoint now, LogPosition next);
  bool ShouldRequestFromPeer() const;

  TopicFollowerOptions options;
  bool listed_once = false;
  bool listing = true;
  std::string after;  ///< Last key of the previous page; empty at the start.
  bool first_page = true;
  LogPosition from;
  uint64_t store_era = 0;
  LogPosition settled_position;
  LogPosition settling_position;  ///< Next `settled_position`.
  TimePoint settling_since{};
  LogPosition retained_position;
  LogPosition retaining_position;  ///< Next `retained_position`.
  TimePoint retaining_since{};
  /// Ends of the last update that this VM sent and of the one before.
  LogPosition sent_position;
  LogPosition previous_sent_position;
  size_t rank = 0;
  uint32_t failures = 0;
  TimePoint failed_call_begun{};
  bool has_peers = false;
  uint32_t requests_to_peers = 0;  ///< Since the last update or read.
  bool peers_declined = false;
  TimePoint fresh_at{};
  size_t read_bytes;  ///< Limit on the next read.
  TimePoint degraded_until{};
  TimePoint busy_until{};
  TimePoint next_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TOPIC_FOLLOWER_H_
