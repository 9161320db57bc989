#ifndef BASILSILL_DECISION_H_
#define BASILSILL_DECISION_H_

/// Main header of the decision package: the decisions of the load balancer as
/// pure state machines, without sockets, threads, clocks or globals.

#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/entry.h"
#include "basilsill/decision/quarantine.h"
#include "basilsill/decision/rate_limit.h"
#include "basilsill/decision/view.h"

#endif  // BASILSILL_DECISION_H_
