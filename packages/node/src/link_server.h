#ifndef BASILSILL_NODE_LINK_SERVER_H_
#define BASILSILL_NODE_LINK_SERVER_H_

#include <string>

#include "dispatch_host.h"
#include "peer_link.h"

/// Requests that other workers hand over to this worker's dispatcher.

namespace basilsill {

/// Serves one stream that a peer opened, to its end.
/// @param view The routing view at the time of opening.
/// @param request_id_header Name of the header that holds the request's id.
Task<void> ServeLinkStream(RoutingViewPtr view,
                           DispatchHost& dispatch,
                           PeerLinkPtr link,
                           LinkStreamPtr stream,
                           wire::Open open,
                           std::string request_id_header);

/// Turns away a stream that a peer opened. Nothing of it may have run.
void RefuseLinkStream(PeerLink& link, LinkStream& stream, Refusal refusal);

}  // namespace basilsill

#endif  // BASILSILL_NODE_LINK_SERVER_H_
