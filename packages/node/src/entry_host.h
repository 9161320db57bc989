#ifndef BASILSILL_NODE_ENTRY_HOST_H_
#define BASILSILL_NODE_ENTRY_HOST_H_

#include <memory>

#include "basilsill/decision/entry.h"
#include "dispatch_host.h"
#include "http_message.h"

/// Runs a worker's EntryRouter: passes a caller's request to the dispatcher
/// that it chooses, on this or another VM, and to another one when a retry is
/// granted.

namespace basilsill {

/// Interface to dispatchers on other workers.
class RemoteDispatch {
 public:
  virtual ~RemoteDispatch() = default;

  /// @returns true if this worker dispatches shard `shard` of `vm`.
  virtual bool IsLocal(VmHandle vm, ShardKey shard) const = 0;

  /// Serves `request` through the dispatcher of the target's shard and VM.
  virtual Task<ServeOutcome> Serve(RequestMessage& request,
                                   const Target& target,
                                   AnswerSink& sink) = 0;
};

class EntryHost {
 public:
  EntryHost(std::unique_ptr<EntryRouter> router,
            DispatchHost& dispatch,
            RemoteDispatch& remote);

  void ApplyView(TimePoint now, const RoutingViewPtr& view);

  /// Serves a request, with retries. If the outcome is not `answered`, the
  /// caller is to be sent `refusal`.
  Task<ServeOutcome> Serve(RequestMessage& request, AnswerSink& sink);

  void OnSummary(VmHandle from, const ShardSummary& summary);
  void OnLink(VmHandle vm, bool usable);
  void Tick(TimePoint now);

  const EntryCounters& counters() const { return this->router->counters(); }

 private:
  Task<ServeOutcome> ServeAt(const Target& target,
                             RequestMessage& request,
                             AnswerSink& sink);
  Task<ServeOutcome> ServeAdmitted(EntryHandle entry,
                                   RequestMessage& request,
                                   AnswerSink& sink);

  std::unique_ptr<EntryRouter> router;
  DispatchHost& dispatch;
  RemoteDispatch& remote;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_ENTRY_HOST_H_
