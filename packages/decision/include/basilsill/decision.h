#ifndef BASILSILL_DECISION_H_
#define BASILSILL_DECISION_H_

/// The whole face of the decision package: every choice of the product as
/// pure state machines, without sockets, threads, clocks or globals.

#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/entry.h"
#include "basilsill/decision/quarantine.h"
#include "basilsill/decision/rate_limit.h"
#include "basilsill/decision/view.h"

#endif  // BASILSILL_DECISION_H_
