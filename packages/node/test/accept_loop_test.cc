// Tests of accepting connections while the process has no file descriptors.

#include "accept_loop.h"

#include <sys/resource.h>
#include <unistd.h>

#include <vector>

#include <boost/asio/co_spawn.hpp>

#include "basilsill/node/task_end.h"

#include <CppUTest/TestHarness.h>

using basilsill::AcceptLoopOptions;
using basilsill::Acceptor;
using basilsill::Counter;
using basilsill::IoContext;
using basilsill::MonotonicClock;
using basilsill::Socket;
using basilsill::TimePoint;

namespace {

// Limits the process to descriptors below `first` during its lifetime.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t first) {
    getrlimit(RLIMIT_NOFILE, &this->before);
    rlimit none = this->before;
    none.rlim_cur = first;
    setrlimit(RLIMIT_NOFILE, &none);
  }
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->before); }

 private:
  rlimit before{};
};

}  // namespace

TEST_GROUP(AcceptLoop) {
  IoContext io;
  Counter failures;
  std::vector<Socket> accepted;
  Acceptor acceptor{this->io};
  Socket caller{this->io};

  void setup() override {
    auto listening = basilsill::Listen(this->io, {"127.0.0.1", 0}, false);
    CHECK(listening.has_value());
    this->acceptor = std::move(listening).value();
    AcceptLoopOptions loop{"test", this->failures, {}, {}};
    loop.on_socket = [this](Socket socket) {
      this->accepted.push_back(std::move(socket));
    };
    boost::asio::co_spawn(
        this->io, basilsill::AcceptLoop(this->acceptor, std::move(loop)),
        basilsill::CriticalTask{"test"});
    this->caller.open(basilsill::Tcp::v4());
    this->io.poll();
  }
};

// Failure: a VM that can't accept a connection retries without pause and leaves
// no time for the connections that it serves.
TEST(AcceptLoop, Accept_NoDescriptorsAtAll_RetriedAfterDelayAndAccepted) {
  this->caller.connect(this->acceptor.local_endpoint());
  const TimePoint began = MonotonicClock::now();
  {
    const DescriptorLimit none(0);
    while (this->failures.value() < 3) {
      this->io.run_one();
    }
  }
  const auto max_failures =
      2 + (MonotonicClock::now() - began) / std::chrono::milliseconds(20);
  CHECK(this->failures.value() <= static_cast<uint64_t>(max_failures));
  while (this->accepted.empty()) {
    this->io.run_one();
  }
  CHECK(MonotonicClock::now() - began >= std::chrono::milliseconds(40));
}

// Failure: a VM without descriptors leaves connections in its backlog, so their
// callers wait until a descriptor is free.
TEST(AcceptLoop, Accept_DescriptorsUsedUp_CallerResetAtOnce) {
  const int next = ::dup(0);
  ::close(next);
  const DescriptorLimit none(static_cast<rlim_t>(next));
  this->caller.connect(this->acceptor.local_endpoint());
  boost::system::error_code error;
  bool is_over = false;
  char octet = 0;
  this->caller.async_read_some(boost::asio::buffer(&octet, 1),
                               [&](const auto& failure, size_t) {
                                 error = failure;
                                 is_over = true;
                               });
  while (!is_over) {
    this->io.run_one();
  }
  CHECK(error == boost::asio::error::connection_reset);
  CHECK(this->accepted.empty());
}

// Failure: all descriptors of a VM are in use, and between two connections that
// it resets it says that it takes callers.
TEST(AcceptLoop, HasFreeDescriptor_DescriptorsUsedUp_IsFalseUntilOneIsFree) {
  CHECK(basilsill::HasFreeDescriptor(this->io.get_executor()));
  {
    const int next = ::dup(0);
    ::close(next);
    const DescriptorLimit none(static_cast<rlim_t>(next));
    CHECK_FALSE(basilsill::HasFreeDescriptor(this->io.get_executor()));
  }
  CHECK(basilsill::HasFreeDescriptor(this->io.get_executor()));
}
