// EmulatedUpstreams distributes its instances over threads, each with its own
// io_context, and runs public calls on the thread of the instance.

#include <future>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "basilsill/base/limits.h"
#include "basilsill/ctl/upstream.h"
#include "upstream_instance.h"

namespace basilsill::ctl {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr size_t kMaxThreads = 64;

struct UpstreamThread {
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard =
      asio::make_work_guard(this->io);
  std::thread thread;
};

Failure OutOfRange(std::string path, std::string detail) {
  return {FailureKind::kOutOfRange, std::move(path), std::move(detail)};
}

Result<asio::ip::address> CheckOptions(const UpstreamOptions& options) {
  boost::system::error_code error;
  const auto address = asio::ip::make_address(options.address, error);
  if (error || !address.is_loopback()) {
    return OutOfRange("listen", "found " + options.address +
                                    ", must be a loopback IP address");
  }
  if (options.count == 0 || options.count > limits::kMaxUpstreams ||
      options.port + options.count - 1 > UINT16_MAX) {
    return OutOfRange("count",
                      "must be at least 1, within the limit of upstreams, and "
                      "use no port above 65535");
  }
  if (options.threads == 0 || options.threads > kMaxThreads) {
    return OutOfRange("threads", "must be 1 to 64");
  }
  return address;
}

std::string InstanceName(const UpstreamOptions& options, size_t index) {
  return options.count == 1 ? options.name
                            : options.name + "-" + std::to_string(index);
}

}  // namespace

struct EmulatedUpstreams::Impl {
  std::vector<std::unique_ptr<UpstreamThread>> threads;
  std::vector<std::shared_ptr<UpstreamInstance>> instances;
  std::vector<UpstreamEndpoint> endpoints;
  bool stopped = false;

  asio::io_context& IoOf(size_t index) {
    return this->threads[index % this->threads.size()]->io;
  }

  // Runs `call` on the thread of instance `index` and waits for its result.
  template <typename Call>
  auto RunOn(size_t index, Call call) {
    std::packaged_task<decltype(call())()> task(std::move(call));
    auto result = task.get_future();
    asio::post(this->IoOf(index), [&task] { task(); });
    return result.get();
  }
};

Result<std::unique_ptr<EmulatedUpstreams>> EmulatedUpstreams::Create(
    const UpstreamOptions& options) {
  const auto address = CheckOptions(options);
  if (address.has_error()) {
    return address.error();
  }
  auto impl = std::make_unique<Impl>();
  for (size_t i = 0; i < options.threads; ++i) {
    impl->threads.push_back(std::make_unique<UpstreamThread>());
  }
  for (size_t i = 0; i < options.count; ++i) {
    const auto port =
        static_cast<uint16_t>(options.port == 0 ? 0 : options.port + i);
    auto instance =
        UpstreamInstance::Create(impl->IoOf(i), InstanceName(options, i),
                                 tcp::endpoint(address.value(), port),
                                 options.behaviour, options.seed + i);
    if (instance.has_error()) {
      return instance.error();
    }
    const auto& endpoint = instance.value()->endpoint();
    impl->endpoints.push_back({instance.value()->name(),
                               endpoint.address().to_string(),
                               endpoint.port()});
    instance.value()->Start();
    impl->instances.push_back(std::move(instance.value()));
  }
  for (auto& thread : impl->threads) {
    thread->thread = std::thread([&io = thread->io] { io.run(); });
  }
  return std::unique_ptr<EmulatedUpstreams>(
      new EmulatedUpstreams(std::move(impl)));
}

EmulatedUpstreams::EmulatedUpstreams(std::unique_ptr<Impl> state)
    : impl(std::move(state)) {}

EmulatedUpstreams::~EmulatedUpstreams() {
  this->Stop();
}

const std::vector<UpstreamEndpoint>& EmulatedUpstreams::endpoints() const {
  return this->impl->endpoints;
}

UpstreamCounts EmulatedUpstreams::CountsOf(size_t index) const {
  UpstreamInstance& instance = *this->impl->instances.at(index);
  return this->impl->RunOn(index,
                           [&instance] { return instance.state().counts(); });
}

void EmulatedUpstreams::Change(
    size_t index,
    const std::function<void(UpstreamBehaviour&)>& change) {
  UpstreamInstance& instance = *this->impl->instances.at(index);
  this->impl->RunOn(index, [&instance, &change] {
    UpstreamBehaviour behaviour = instance.state().behaviour();
    change(behaviour);
    instance.Change(behaviour);
  });
}

void EmulatedUpstreams::Crash(size_t index) {
  UpstreamInstance& instance = *this->impl->instances.at(index);
  this->impl->RunOn(index, [&instance] {
    instance.Crash(instance.state().behaviour().down_time);
  });
}

bool EmulatedUpstreams::WaitFor(
    size_t index,
    const std::function<bool(const UpstreamCounts&)>& condition,
    std::chrono::milliseconds limit) {
  auto promise = std::make_shared<std::promise<void>>();
  auto future = promise->get_future();
  UpstreamInstance& instance = *this->impl->instances.at(index);
  this->impl->RunOn(index, [&instance, &condition, promise] {
    instance.AddWaiter([condition, promise](const UpstreamCounts& counts) {
      const bool done = condition(counts);
      if (done) {
        promise->set_value();
      }
      return done;
    });
  });
  return future.wait_for(limit) == std::future_status::ready;
}

void EmulatedUpstreams::Stop() {
  if (std::exchange(this->impl->stopped, true)) {
    return;
  }
  for (size_t i = 0; i < this->impl->instances.size(); ++i) {
    UpstreamInstance& instance = *this->impl->instances[i];
    this->impl->RunOn(i, [&instance] { instance.Close(); });
  }
  for (auto& thread : this->impl->threads) {
    thread->guard.reset();
    thread->thread.join();
  }
}

}  // namespace basilsill::ctl
