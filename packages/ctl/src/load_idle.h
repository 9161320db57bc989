#ifndef BASILSILL_CTL_LOAD_IDLE_H_
#define BASILSILL_CTL_LOAD_IDLE_H_

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "basilsill/ctl/load.h"
#include "load_connection.h"

/// Keep-alive connections that carry one request and then stay idle.

namespace basilsill::ctl {

class LoadIdleConnections {
 public:
  /// Opens all connections, sends one request over each, and blocks until each
  /// response has arrived or its connection has failed.
  /// @param options Reads idle_connections, targets (or direct) and mix.
  explicit LoadIdleConnections(const LoadOptions& options);

  /// @returns how many connections opened, failed to open, and were closed by
  /// the peer afterwards.
  LoadIdleReport Report();

 private:
  void OpenNext();

  LoadOptions options;
  boost::asio::io_context io{1};
  std::vector<std::unique_ptr<LoadConnection>> connections;
  size_t next = 0;
  LoadIdleReport counts;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_IDLE_H_
