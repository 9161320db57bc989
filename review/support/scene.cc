#include "scene.h"

#include <cstdio>
#include <cstdlib>
#include <set>
#include <utility>

namespace review {
namespace {

constexpr int kFixedArguments = 3;

}  // namespace

SceneArguments ReadArguments(int count, char** words) {
  if (count <= kFixedArguments) {
    std::fprintf(stderr, "usage: scene DIRECTORY RECORD COMMAND...\n");
    std::_Exit(kCouldNotRun);
  }
  SceneArguments arguments;
  arguments.directory = words[1];
  arguments.record = words[2];
  arguments.command.assign(words + kFixedArguments, words + count);
  const char* trouble = std::getenv("TROUBLE");
  arguments.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  return arguments;
}

std::string ConfigurationText(const std::string& version,
                              const std::vector<RouteText>& routes) {
  std::string route_list;
  std::set<std::string> services;
  for (const RouteText& route : routes) {
    services.insert(route.service);
    route_list += route_list.empty() ? "" : ",";
    route_list +=
        R"({"name":")" + route.name + R"(","hostname":")" + kHost +
        R"(","path_prefix":"/)" + route.name + R"(/","kind":")" + route.kind +
        R"(","timeout":")" + std::to_string(route.timeout.count()) +
        R"(ms","target_latency":")" + std::to_string(route.target.count()) +
        R"(ms","priority":1,"service":")" + route.service +
        R"(","max_attempts":)" + std::to_string(route.attempts) + "}";
  }
  std::string service_list;
  for (const std::string& service : services) {
    service_list += service_list.empty() ? "" : ",";
    service_list +=
        R"({"name":")" + service +
        R"(","health_path":"/health","max_conns":220,"protocol":"h1","tls":false})";
  }
  return R"({"version":")" + version + R"(","routes":[)" + route_list +
         R"(],"services":[)" + service_list +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)" +
         R"("header_timeout":"3000ms","idle_timeout":"15000ms"}})";
}

Flow::Flow(const Fleet& fleet, Record& record, Options options)
    : fleet(fleet), record(record), options(std::move(options)) {}

void Flow::SendUntil(Clock::time_point until) {
  const auto gap = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1 / this->options.per_second));
  for (auto next = Clock::now(); next < until; next += gap) {
    std::this_thread::sleep_until(next);
    RequestText request = this->options.request;
    request.id = this->options.prefix + std::to_string(this->sent);
    const size_t node =
        this->options.nodes[this->sent++ % this->options.nodes.size()];
    this->threads.emplace_back([this, node, request] {
      SendRequest(this->fleet, node, request, this->record);
    });
  }
}

void Flow::Join() {
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

}  // namespace review
