#include "platform_command.h"

#include <iostream>

#include <tclap/CmdLine.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "basilsill/ctl/platform_server.h"

namespace basilsill::ctl {
namespace {

constexpr std::string_view kAbout =
    "Emulated platform: an append-only log and a VM list over HTTP/JSON. "
    "PUT /faults injects faults, GET /stats returns counters. Prints "
    "'listening ADDRESS:PORT' once it is ready and runs until SIGTERM or "
    "SIGINT.";

// The platform state is not thread-safe, and appends are answered in order.
constexpr int kThreads = 1;

}  // namespace

ExitStatus RunPlatform(const CommandArguments& arguments) {
  TCLAP::CmdLine line(std::string(kAbout), ' ', BASILSILL_VERSION);
  TCLAP::ValueArg<std::string> listen(
      "", "listen",
      "Endpoint to listen on; with port 0 the kernel chooses the port.", false,
      "127.0.0.1:0", "ADDRESS:PORT", line);
  TCLAP::ValueArg<uint64_t> retention("", "retention",
                                      "Records kept per stream; 0 keeps all.",
                                      false, 0, "RECORDS", line);
  TCLAP::ValueArg<uint64_t> rate(
      "", "appends-per-second", "Append calls allowed per second; 0: no limit.",
      false, 0, "RATE", line);
  if (const auto status = ParseArguments(line, arguments)) {
    return *status;
  }
  const auto endpoint = ParseEndpoint(listen.getValue(), "--listen");
  if (!endpoint) {
    std::cerr << ToString(endpoint.error()) << '\n';
    return ExitStatus::kUsage;
  }
  PlatformFaults faults;
  faults.appends_per_second = rate.getValue();
  if (retention.getValue() > 0) {
    faults.retention_records = retention.getValue();
  }
  boost::asio::io_context io(kThreads);
  const auto server = PlatformServer::Listen(io, endpoint.value(), faults);
  if (!server) {
    std::cerr << ToString(server.error()) << '\n';
    return ExitStatus::kFailed;
  }
  std::cout << "listening " << ToString(server.value().endpoint()) << std::endl;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](auto, int) { io.stop(); });
  io.run();
  return ExitStatus::kOk;
}

}  // namespace basilsill::ctl
