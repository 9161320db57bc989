#ifndef BASILSILL_PLATFORM_VM_LIST_CLIENT_H_
#define BASILSILL_PLATFORM_VM_LIST_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/error.h"
#include "basilsill/platform/failover_client.h"

/// Client of the platform's list of VMs. The list is updated with a delay: a
/// listed VM may already be gone, and a running VM may not be listed yet.

namespace basilsill {

/// An entry of the platform's VM list.
struct VmListEntry {
  std::string name;
  std::string data_centre;
  Endpoint control;
  bool leaving = false;

  friend bool operator==(const VmListEntry&, const VmListEntry&) = default;
};

struct VmList {
  uint64_t version = 0;
  std::vector<VmListEntry> vms;
};

/// Must be used only on the thread that runs its executor. No call blocks that
/// thread.
class VmListClient {
 public:
  /// @returns kMissingField if `settings` has no endpoints.
  static Result<VmListClient> Create(boost::asio::any_io_executor executor,
                                     FailoverSettings settings);

  /// Long poll: waits until the list is newer than `since`, at most for `wait`,
  /// and then returns the current list. Call it in a loop to watch the list.
  /// @param since Version of the list that the caller has; 0 if it has none.
  /// @returns the list, or kPlatformUnavailable, kPlatformRejected, kSyntax or
  /// kOversizedFrame. After a failure, the next call waits for the back-off.
  /// @remarks The version may decrease when another endpoint answers. The
  /// caller has to handle that.
  boost::asio::awaitable<Result<VmList>> Watch(uint64_t since,
                                               std::chrono::milliseconds wait);

  /// Closes all connections. Calls in flight fail, and so do later ones.
  void Close();

 private:
  explicit VmListClient(FailoverClient started);

  FailoverClient client;
};

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_VM_LIST_CLIENT_H_
