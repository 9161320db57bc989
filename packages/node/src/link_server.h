#ifndef BASILSILL_NODE_LINK_SERVER_H_
#define BASILSILL_NODE_LINK_SERVER_H_

#include <string>

#include "dispatch_host.h"
#include "peer_link.h"

/// Serves requests that other workers forward to this worker's dispatcher.

namespace basilsill {

/// Serves one stream that a peer opened, until it ends.
/// @param view The routing view at the time of opening.
/// @param request_id_header Name of the header with the request id.
Task<void> ServeLinkStream(RoutingViewPtr view,
                           DispatchHost& dispatch,
                           PeerLinkPtr link,
                           LinkStreamPtr stream,
                           wire::Open open,
                           std::string request_id_header);

/// Sends the summary of `shard` and the notices of its upstreams to the peer,
/// unless this VM can't connect to the upstreams.
void PostSummary(PeerLink& link, const DispatchHost& dispatch, ShardKey shard);

/// Refuses a stream that a peer opened. Its request must not have been started.
void RefuseLinkStream(PeerLink& link, LinkStream& stream, Refusal refusal);

}  // namespace basilsill

#endif  // BASILSILL_NODE_LINK_SERVER_H_
