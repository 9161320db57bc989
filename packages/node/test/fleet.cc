#include "fleet.h"

#include <chrono>
#include <future>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace basilsill::test {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

// Far longer than any wait needs; a test that reaches it has failed.
constexpr std::chrono::seconds kWaitTimeout{60};
constexpr std::chrono::milliseconds kPollInterval{5};

Settings MakeSettings(const std::string& name,
                      const std::string& data_centre,
                      const Endpoint& platform) {
  Settings settings;
  settings.tenant = "test";
  settings.vm = {name, data_centre, "127.0.0.1"};
  settings.listen = {0, 0, 0, 0};
  settings.platform.endpoints = {platform};
  settings.shutdown.ready_delay = std::chrono::milliseconds(0);
  return settings;
}

tcp::socket Connect(boost::asio::io_context& io, uint16_t port) {
  tcp::socket socket(io);
  socket.connect({boost::asio::ip::address_v4::loopback(), port});
  return socket;
}

}  // namespace

ContextThread::ContextThread()
    : work(boost::asio::make_work_guard(this->io)),
      thread([this] { this->io.run(); }) {}

ContextThread::~ContextThread() {
  this->Stop();
}

void ContextThread::Stop() {
  this->io.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ContextThread::Run(const std::function<void()>& job) {
  std::promise<void> done;
  boost::asio::post(this->io, [&job, &done] {
    job();
    done.set_value();
  });
  done.get_future().wait();
}

RunningNode::RunningNode(const Settings& settings,
                         const Installation& installation)
    : vm(settings.vm.name), data_centre_name(settings.vm.data_centre) {
  this->control_thread.Run([&] {
    this->node =
        Node::Create(this->control_thread.context(), settings, installation)
            .value();
    this->callers_port = this->node->callers_endpoint().port;
    this->admin_port = this->node->admin_port();
    this->control_endpoint = this->node->control().endpoint();
    this->links_endpoint = this->node->workers().front()->links_endpoint();
    this->node->Start();
  });
}

RunningNode::~RunningNode() {
  this->Kill();
}

void RunningNode::Kill() {
  // The thread is stopped first, since its pending handlers refer to the node.
  this->control_thread.Stop();
  this->node.reset();
}

ShardKey RunningNode::FirstShard() {
  ShardKey shard = 0;
  this->control_thread.Run([&] {
    shard = this->node->control().view()->services.front()->shards.front().key;
  });
  return shard;
}

bool RunningNode::DrainAndWait() {
  std::promise<bool> stopped;
  this->control_thread.Run([&] {
    this->node->Drain(
        [&stopped](bool is_clean) { stopped.set_value(is_clean); });
  });
  const bool is_clean = stopped.get_future().get();
  this->Kill();
  return is_clean;
}

Fleet::Fleet(std::function<void(Settings&)> adjust)
    : adjust(std::move(adjust)) {
  this->platform_thread.Run([this] {
    this->platform = std::make_unique<ctl::PlatformServer>(
        ctl::PlatformServer::Listen(this->platform_thread.context(),
                                    {"127.0.0.1", 0})
            .value());
    this->platform_endpoint = this->platform->endpoint();
  });
}

Fleet::~Fleet() {
  this->running.clear();
  this->upstreams.clear();
  this->platform_thread.Run([this] { this->platform.reset(); });
}

RunningNode& Fleet::AddNode(const std::string& name,
                            const std::string& data_centre) {
  Settings settings = MakeSettings(name, data_centre, this->platform_endpoint);
  if (this->adjust) {
    this->adjust(settings);
  }
  this->running.push_back(std::make_unique<RunningNode>(settings));
  RunningNode& node = *this->running.back();
  this->WithPlatform([&node](ctl::PlatformServer& server) {
    server.PutVm({node.name(), node.data_centre(), node.control(), {}});
  });
  return node;
}

ctl::EmulatedUpstreams& Fleet::AddUpstreams(const std::string& data_centre,
                                            size_t count) {
  ctl::UpstreamOptions options;
  options.count = count;
  options.name = data_centre;
  options.behaviour.service_mean = std::chrono::milliseconds(1);
  this->upstreams.push_back(ctl::EmulatedUpstreams::Create(options).value());
  std::string instances;
  for (const ctl::UpstreamEndpoint& endpoint :
       this->upstreams.back()->endpoints()) {
    instances += (instances.empty() ? "" : ",") +
                 (R"({"address":")" + endpoint.address + R"(","port":)" +
                  std::to_string(endpoint.port) + "}");
  }
  const std::string name = "set-" + data_centre;
  this->sets.emplace_back(
      "/api/v1/upstream-sets/" + name,
      R"({"name":")" + name + R"(","service":"banklevel","data_centre":")" +
          data_centre + R"(","instances":[)" + instances + "]}");
  return *this->upstreams.back();
}

void Fleet::AddUpstreamAt(const std::string& data_centre, uint16_t port) {
  const std::string name = "own-" + data_centre;
  this->sets.emplace_back(
      "/api/v1/upstream-sets/" + name,
      R"({"name":")" + name + R"(","service":"banklevel","data_centre":")" +
          data_centre + R"(","instances":[{"address":"127.0.0.1","port":)" +
          std::to_string(port) + "}]}");
}

void Fleet::Configure() {
  const auto all_ready = [this] {
    for (const auto& node : this->running) {
      if (Send(node->admin(), MakeRequest("GET", "/readyz")).result_int() !=
          200) {
        return false;
      }
    }
    return true;
  };
  WaitUntil(all_ready);
  this->Put("/api/v1/teams/rodopa", R"({"name":"rodopa"})");
  this->Put("/api/v1/services/banklevel",
            R"({"name":"banklevel","team":"rodopa"})");
  for (const auto& [path, body] : this->sets) {
    this->Put(path, body);
  }
  this->Put("/api/v1/rules/confirm",
            R"({"name":"confirm","service":"banklevel","once":true,)"
            R"("match":{"host":"levels.test","path_prefix":"/confirm",)"
            R"("methods":["POST"]}})");
  this->Put("/api/v1/rules/levels", R"({"name":"levels","service":"banklevel",)"
                                    R"("match":{"host":"levels.test"}})");
  const std::string last = "/api/v1/rules/levels";
  WaitUntil([&] {
    const HttpResponse answer =
        Send(this->running.front()->admin(), MakeRequest("GET", last));
    return answer.body().find(R"("in_force":true)") != std::string::npos;
  });
}

void Fleet::Put(const std::string& path, const std::string& body) {
  const HttpResponse answer =
      Send(this->running.front()->admin(), MakeRequest("PUT", path, body));
  if (answer.result_int() != 201) {
    throw std::runtime_error(path + ": " + answer.body());
  }
}

void Fleet::WithPlatform(const std::function<void(ctl::PlatformServer&)>& use) {
  this->platform_thread.Run([this, &use] { use(*this->platform); });
}

HttpResponse Send(uint16_t port, const HttpRequest& request) {
  boost::asio::io_context io;
  tcp::socket socket = Connect(io, port);
  http::write(socket, request);
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  parser.skip(request.method() == http::verb::head);
  http::read(socket, buffer, parser);
  return parser.release();
}

HttpRequest MakeRequest(const std::string& method,
                        const std::string& target,
                        const std::string& body) {
  HttpRequest request(http::string_to_verb(method), target, 11);
  request.set(http::field::host, "levels.test");
  request.body() = body;
  request.prepare_payload();
  return request;
}

std::string SendRaw(uint16_t port, const std::string& bytes) {
  boost::asio::io_context io;
  tcp::socket socket = Connect(io, port);
  boost::system::error_code ignored;
  boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
  return answer;
}

bool WaitUntil(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < until) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

}  // namespace basilsill::test
