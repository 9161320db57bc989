#ifndef BASILSILL_PLATFORM_H_
#define BASILSILL_PLATFORM_H_

/// Clients of the platform's log and VM list.

#include "basilsill/platform/log_client.h"      // IWYU pragma: export
#include "basilsill/platform/vm_list_client.h"  // IWYU pragma: export

#endif  // BASILSILL_PLATFORM_H_
