// Tests of socket options.

#include "net.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <CppUTest/TestHarness.h>

using basilsill::IoContext;
using basilsill::SetUserTimeout;
using basilsill::Socket;
using basilsill::Tcp;

TEST_GROUP(Net){};

// Failure: a request that is sent on a kept connection whose path is lost waits
// until its deadline, since nothing ends the connection.
TEST(Net, SetUserTimeout_OpenSocket_KernelKnowsIt) {
  IoContext context;
  Socket socket(context);
  socket.open(Tcp::v4());
  SetUserTimeout(socket, std::chrono::milliseconds(700));
  unsigned timeout = 0;
  socklen_t size = sizeof(timeout);
  const int result = ::getsockopt(socket.native_handle(), IPPROTO_TCP,
                                  TCP_USER_TIMEOUT, &timeout, &size);
  CHECK_EQUAL(0, result);
  CHECK_EQUAL(700, timeout);
}
