#ifndef BASILSILL_DECISION_UPSTREAM_NOTICE_H_
#define BASILSILL_DECISION_UPSTREAM_NOTICE_H_

#include "basilsill/base/time.h"

/// What an upstream says in an answer about the new requests that it wants.

namespace basilsill {

struct UpstreamNotice {
  bool leaving = false;  ///< It is about to end and wants no new requests.
  Duration rest{0};      ///< It wants no requests for this long; 0: not said.

  friend bool operator==(const UpstreamNotice&,
                         const UpstreamNotice&) = default;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_NOTICE_H_
