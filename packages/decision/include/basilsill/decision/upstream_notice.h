#ifndef BASILSILL_DECISION_UPSTREAM_NOTICE_H_
#define BASILSILL_DECISION_UPSTREAM_NOTICE_H_

#include <cstdint>
#include <memory>

#include <boost/unordered/unordered_flat_map.hpp>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// What upstreams say in their answers about the new requests that they want.
/// It is kept by incarnation, apart from the shards that a VM dispatches: it
/// binds the VM that passed such an answer on, whichever way its next request
/// to the upstream takes.

namespace basilsill {

/// What one answer says.
struct UpstreamNotice {
  bool leaving = false;  ///< It is about to end and wants no new requests.
  /// Another upstream answered at its address.
  bool replaced = false;
  Duration rest{0};  ///< It wants no requests for this long; 0: not said.

  /// @returns true if the answer says anything.
  bool any() const {
    return this->leaving || this->replaced || this->rest > Duration(0);
  }

  friend bool operator==(const UpstreamNotice&,
                         const UpstreamNotice&) = default;
};

/// Report to another VM about what an upstream said here.
struct UpstreamNoticeReport {
  /// Identifies one incarnation of the upstream, the same on all VMs.
  uint64_t upstream = 0;
  bool leaving = false;
  Duration rest{0};  ///< What is left of it.

  friend bool operator==(const UpstreamNoticeReport&,
                         const UpstreamNoticeReport&) = default;
};

/// Until when an upstream gets no requests; in the past if it may get them.
struct NoticeTimes {
  TimePoint leaving_until{};
  TimePoint rest_until{};
};

/// Numbers of upstreams that leave and that rest.
struct NoticeCounts {
  size_t leaving = 0;
  size_t resting = 0;
};

struct UpstreamNoticesOptions {
  /// Each start of an upstream has an id of its own. Otherwise only its start
  /// time, where that is reported, tells one incarnation from the next.
  bool ids_are_unique = false;
};

/// What is known of all upstreams. Used by one thread only; shared by the
/// Dispatcher and the EntryRouter of a worker.
class UpstreamNotices {
 public:
  static std::shared_ptr<UpstreamNotices> Create(
      const UpstreamNoticesOptions& options);

  explicit UpstreamNotices(const UpstreamNoticesOptions& options)
      : options(options) {}

  /// Records what `upstream`, a row of `service`, said to this VM.
  void Record(TimePoint now,
              const ServiceRow& service,
              const UpstreamRow& upstream,
              const UpstreamNotice& notice);

  /// Records what `upstream`, a row of `service`, said to another VM.
  void Import(TimePoint now,
              const ServiceRow& service,
              const UpstreamRow& upstream,
              const UpstreamNoticeReport& report);

  /// Ends the leaving of upstreams whose entries said so and take it back.
  /// Forgets what has ended.
  void ApplyView(TimePoint now, const RoutingView& view);

  /// The view lists the incarnation `upstream` under these handles. They change
  /// if its entry was removed and is listed again.
  void Rebind(uint64_t upstream, ServiceHandle service, UpstreamHandle handle);

  /// @param upstream Key of an incarnation, from KeyOfIncarnation.
  NoticeTimes Find(uint64_t upstream) const;

  /// @returns the report of what the upstream said to this VM and not only to
  /// others, so that VMs which tell each other don't prolong a rest.
  UpstreamNoticeReport MakeReport(TimePoint now, uint64_t upstream) const;

  bool empty() const { return this->rows.empty(); }
  NoticeCounts Count(TimePoint now) const;

 private:
  struct Row {
    ServiceHandle service;
    UpstreamHandle upstream;
    NoticeTimes times;
    TimePoint own_rest_until{};
    bool own_leaving = false;
    bool listed_leaving = false;  ///< Its entry said so since then.
    TimePoint changed_at{};
  };

  Row& RowOf(TimePoint now,
             const ServiceRow& service,
             const UpstreamRow& upstream);
  void SetLeaving(TimePoint now,
                  const ServiceRow& service,
                  const UpstreamRow& upstream,
                  Row& row) const;
  void EraseEnded(TimePoint now);
  void EvictIfFull(TimePoint now);

  UpstreamNoticesOptions options;
  boost::unordered_flat_map<uint64_t, Row> rows;  ///< By KeyOfIncarnation.
};

/// @returns a key for the current incarnation of `upstream`, a row of
/// `service`. All VMs compute the same key.
uint64_t KeyOfIncarnation(const ServiceRow& service,
                          const UpstreamRow& upstream);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_NOTICE_H_
