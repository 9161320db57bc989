#ifndef BASILSILL_DECISION_TOPIC_FOLLOWER_H_
#define BASILSILL_DECISION_TOPIC_FOLLOWER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "basilsill/base/time.h"

/// How one topic of a platform's record store is kept up with: first the
/// newest record of each key, then what is appended from there on, and the
/// newest records again when what was to be read next is no longer there.
/// Pure; the shell makes the calls.
///
/// Many VMs follow the same topics, and one read serves all of them: who has
/// read tells the others. Each VM reads only when it has heard nothing for its
/// own patience, which is longer the further back the VM stands in an order
/// that all share. So the first in it reads, the second steps in when the first
/// falls silent, and nobody has to agree on who that is. A VM that hears
/// nothing at all, whatever the cause, reads for itself soon enough for every
/// bound.

namespace basilsill {

enum class TopicCallKind : uint8_t {
  kListNewest,  ///< The newest record of each key after `after`.
  kReadOn,      ///< Records from offset `from`.
  kAskPeer,     ///< The same, of a VM that tells this one.
  kCount
};

/// The next call to make.
struct TopicCall {
  /// A read may be held by the store so long, until there is a record.
  Duration hold{0};
  TopicCallKind kind = TopicCallKind::kListNewest;
  std::string after;
  uint64_t from = 0;
  size_t max_bytes = 0;  ///< Of a read.
};

struct TopicFollowerOptions {
  /// Between two reads of the VM that reads for all.
  Duration interval{0};
  /// The same while new records keep coming; 0: no shorter.
  Duration busy_interval{0};
  /// The same while the topic has no record; 0: no shorter.
  Duration empty_interval{0};
  /// How long the store holds a read of the VM that reads for all, so that it
  /// hears of a record at once; 0: not at all. That VM then reads without a
  /// break.
  Duration hold{0};
  /// The longest that any VM waits without news.
  Duration max_silence{0};
  /// The same while the store is in trouble, as own calls show it, and the
  /// longest between two tries of a VM far back in the order.
  Duration degraded_max_silence{0};
  Duration retry_min = std::chrono::milliseconds(100);
  /// The longest between two tries of the first VM, and of one that has not
  /// listed the topic yet.
  Duration retry_max = std::chrono::milliseconds(400);
  /// The topic has so much that the store could not bear it if many VMs read
  /// it. Those that do not tell others ask who tells them before they read.
  bool is_bulk = false;
};

class TopicFollower {
 public:
  explicit TopicFollower(const TopicFollowerOptions& options);

  TopicCall NextCall() const;

  /// @returns when `NextCall` is due.
  TimePoint due() const { return this->next_at; }

  /// Puts the first call off, as StartPatience says.
  void StartAt(TimePoint at) { this->next_at = at; }

  /// A page of newest records came.
  /// @param end Offset after the last record when the page was made.
  /// @param last_key Of the page; empty if it has none.
  /// @returns true if the list is whole now.
  bool OnPage(TimePoint now, uint64_t end, bool more, std::string last_key);

  /// Records up to `next` came, of a topic that ends at `end`.
  void OnRecords(TimePoint now, uint64_t next, uint64_t end);

  /// A peer was asked for what is missing here.
  void OnAskedPeer(TimePoint now);

  /// It does not tell: it has heard nothing new itself, or this VM is too far
  /// behind.
  void OnPeerDeclined(TimePoint now);

  /// Says whether there are peers to ask.
  void SetPeers(bool has_peers) { this->has_peers = has_peers; }

  /// Another VM has read the records from `first` on, up to `next`.
  /// @returns true if the records are to be taken: with them, nothing is
  /// missing here. False if they are known, or if some before them are missing;
  /// then the next read is due at once.
  bool OnNews(TimePoint now, uint64_t first, uint64_t next);

  /// Says how many VMs stand before this one in the common order.
  void SetRank(size_t rank) { this->rank = rank; }

  /// What was to be read next is gone: all is listed anew.
  void OnTrimmed(TimePoint now);

  /// The call failed or got no answer.
  void OnFailed(TimePoint now);

  /// A call was answered, and took so long.
  void OnCallLatency(TimePoint now, Duration took);

  /// @returns true once the newest records were listed whole.
  bool is_fully_listed() const { return this->whole; }

  /// @returns true while nothing is known to be missing before `offset()`.
  bool is_gapless() const { return this->whole && !this->listing; }

  /// @returns true if what is known here was the newest of late.
  bool is_fresh(TimePoint now) const;

  /// @returns true while the store answers.
  bool available() const { return this->failures == 0; }

  uint64_t offset() const { return this->from; }

  /// This VM tells the others of all records from the returned offset on, up to
  /// `offset()`. Every VM that heard anything of late knows what stands before
  /// it. What two news in a row have told is left out too: who missed both
  /// finds the gap and reads for itself. Telling all that some VM may not know
  /// costs each record four to five times, on the links to all VMs.
  uint64_t BeginNews();

  /// @returns an offset before which every VM knows all records that heard
  /// anything of late.
  uint64_t settled() const { return this->settled_offset; }

  /// @returns an offset that is some seconds old: a VM that was frozen or had
  /// no links for less is told what it has missed.
  uint64_t retained() const { return this->retained_offset; }

 private:
  Duration Patience(TimePoint now) const;
  Duration Interval(TimePoint now) const;
  bool Holds() const;
  Duration RetryPause() const;
  /// @returns a part of the way from `first` to `last`, by the VM's place.
  Duration ByPlace(Duration first, Duration last) const;
  void Advance(TimePoint now, uint64_t next);
  bool AsksPeers() const;

  TopicFollowerOptions options;
  bool whole = false;
  bool listing = true;
  std::string after;  ///< Last key of the page before; empty at the start.
  bool first_page = true;
  uint64_t from = 0;
  uint64_t settled_offset = 0;
  uint64_t settling_offset = 0;  ///< Becomes the settled one.
  TimePoint settling_since{};
  uint64_t retained_offset = 0;
  uint64_t retaining_offset = 0;  ///< Becomes the retained one.
  TimePoint retaining_since{};
  /// Where the last news of this VM ended, and those before.
  uint64_t told_offset = 0;
  uint64_t told_twice_offset = 0;
  size_t rank = 0;
  uint32_t failures = 0;
  bool has_peers = false;
  uint32_t peers_asked = 0;  ///< Without an answer since the last word.
  bool peers_declined = false;
  TimePoint fresh_at{};
  size_t read_bytes;  ///< That the next read may bring.
  TimePoint trouble_until{};
  TimePoint busy_until{};
  TimePoint next_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TOPIC_FOLLOWER_H_
