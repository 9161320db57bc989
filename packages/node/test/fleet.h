#ifndef BASILSILL_NODE_TEST_FLEET_H_
#define BASILSILL_NODE_TEST_FLEET_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "basilsill/ctl/platform_server.h"
#include "basilsill/ctl/upstream.h"
#include "node.h"

/// A small installation in one test process: an emulated platform, emulated
/// upstreams and real nodes, on ports that the kernel chooses.

namespace basilsill::test {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// A thread that runs one io_context.
class ContextThread {
 public:
  ContextThread();
  ~ContextThread();

  IoContext& context() { return this->io; }

  /// Ends the thread; pending handlers of its io_context are dropped.
  void Stop();

  /// Runs `work` on the thread and waits until it is done.
  void Run(const std::function<void()>& work);

 private:
  IoContext io;
  boost::asio::executor_work_guard<Executor> work;
  std::thread thread;
};

/// A node and the thread of its control side.
class RunningNode {
 public:
  explicit RunningNode(const Settings& settings,
                       const Installation& installation = {});
  ~RunningNode();

  /// Ends the node at once; requests in flight are aborted.
  void Kill();

  /// Shuts the node down gracefully and waits until it has stopped.
  /// @returns true if nothing was cut off.
  bool DrainAndWait();

  const std::string& name() const { return this->vm; }
  const std::string& data_centre() const { return this->data_centre_name; }
  uint16_t callers() const { return this->callers_port; }
  uint16_t admin() const { return this->admin_port; }
  Endpoint control() const { return this->control_endpoint; }
  /// @returns the endpoint at which the first worker accepts links.
  Endpoint links() const { return this->links_endpoint; }

  /// @returns the first shard of the first service in the node's view.
  ShardKey FirstShard();

 private:
  std::string vm;
  std::string data_centre_name;
  ContextThread control_thread;
  std::unique_ptr<Node> node;
  uint16_t callers_port = 0;
  uint16_t admin_port = 0;
  Endpoint control_endpoint;
  Endpoint links_endpoint;
};

class Fleet {
 public:
  /// @param adjust Changes the settings of each node; may be empty.
  explicit Fleet(std::function<void(Settings&)> adjust = {});
  ~Fleet();

  RunningNode& AddNode(const std::string& name, const std::string& data_centre);

  /// Starts `count` upstreams; `Configure` declares them as a set of the
  /// service.
  ctl::EmulatedUpstreams& AddUpstreams(const std::string& data_centre,
                                       size_t count);

  /// Adds one upstream that the test itself runs at `port`.
  void AddUpstreamAt(const std::string& data_centre, uint16_t port);

  /// Declares a team, a service and the rules that the tests use, and waits
  /// until all of it, including the upstreams, is in force on every node.
  void Configure();

  /// Calls `use` with the platform, on the platform's thread.
  void WithPlatform(const std::function<void(ctl::PlatformServer&)>& use);

  const std::vector<std::unique_ptr<RunningNode>>& nodes() const {
    return this->running;
  }

 private:
  void Put(const std::string& path, const std::string& body);

  std::function<void(Settings&)> adjust;
  ContextThread platform_thread;
  std::unique_ptr<ctl::PlatformServer> platform;
  Endpoint platform_endpoint;
  std::vector<std::unique_ptr<ctl::EmulatedUpstreams>> upstreams;
  std::vector<std::pair<std::string, std::string>> sets;
  std::vector<std::unique_ptr<RunningNode>> running;
};

/// Sends one request on a connection of its own.
/// @throws boost::system::system_error if the answer is missing or incomplete.
HttpResponse Send(uint16_t port, const HttpRequest& request);

/// @returns a request for `target` of the host levels.test.
HttpRequest MakeRequest(const std::string& method,
                        const std::string& target,
                        const std::string& body = "");

/// Sends raw bytes and reads until the other side closes.
std::string SendRaw(uint16_t port, const std::string& bytes);

/// Polls `condition` until it is true.
/// @returns false if it has not become true within a minute.
bool WaitUntil(const std::function<bool()>& condition);

}  // namespace basilsill::test

#endif  // BASILSILL_NODE_TEST_FLEET_H_
