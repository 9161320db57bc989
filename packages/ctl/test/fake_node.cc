#include "fake_node.h"

#include <utility>

namespace basilsill::ctl {
namespace {

constexpr std::string_view kApi = "/api/v1/";

ServerReply Refusal(unsigned status, const std::string& kind) {
  return {status,
          R"({"failures":[{"kind":")" + kind +
              R"(","path":"/p","detail":"as asked for"}]})",
          {}};
}

}  // namespace

FakeNode::FakeNode()
    : server(HttpServer::Listen(
                 io,
                 {"127.0.0.1", 0},
                 [this](ServerRequest request)
                     -> boost::asio::awaitable<std::optional<ServerReply>> {
                   co_return this->HandleRequest(request);
                 })
                 .value()),
      thread([this] { this->io.run(); }) {}

FakeNode::~FakeNode() {
  this->io.stop();
  this->thread.join();
}

void FakeNode::DropNextResponse(std::optional<ServerReply> replacement) {
  const std::lock_guard lock(this->mutex);
  this->drop_next_response = true;
  this->replacement_response = std::move(replacement);
}

void FakeNode::RefuseAll(ServerReply reply) {
  const std::lock_guard lock(this->mutex);
  this->refusal = std::move(reply);
}

void FakeNode::SetReadsUntilInForce(int reads) {
  const std::lock_guard lock(this->mutex);
  this->reads_until_in_force = reads;
}

void FakeNode::SetWatchLines(std::string lines) {
  const std::lock_guard lock(this->mutex);
  this->watch_lines = std::move(lines);
}

std::vector<std::string> FakeNode::Calls() {
  const std::lock_guard lock(this->mutex);
  return this->calls;
}

std::optional<ServerReply> FakeNode::HandleRequest(
    const ServerRequest& request) {
  const std::lock_guard lock(this->mutex);
  this->calls.push_back(request.method + " " + request.path +
                        (request.query.empty() ? "" : "?" + request.query));
  if (this->refusal.status != 200) {
    return this->refusal;
  }
  const std::string key = request.path.substr(kApi.size());
  if (request.method == "PUT" || request.method == "DELETE") {
    ServerReply reply = this->ChangeOnce(request, key);
    if (std::exchange(this->drop_next_response, false)) {
      return this->replacement_response;
    }
    return reply;
  }
  if (key == "watch") {
    return ServerReply{200, this->watch_lines, {}};
  }
  if (key == "status") {
    return ServerReply{200,
                       R"({"vm":"lyulin-1","log":{"offset":20},)"
                       R"("vms":[{"name":"lyulin-1","state":"live"},)"
                       R"({"name":"bozhurishte-2","state":"leaving"}]})",
                       {}};
  }
  return key.find('/') == std::string::npos ? this->List(key) : this->Read(key);
}

ServerReply FakeNode::ChangeOnce(const ServerRequest& request,
                                 const std::string& key) {
  const std::string id(HeaderValue(request, "Change-Id"));
  const auto known = this->replies_by_change_id.find(id);
  if (known != this->replies_by_change_id.end()) {
    return known->second;
  }
  return this->replies_by_change_id[id] = this->Change(request, key);
}

ServerReply FakeNode::Change(const ServerRequest& request,
                             const std::string& key) {
  const auto found = this->entries.find(key);
  const bool exists = found != this->entries.end();
  const std::string tag =
      exists ? "\"" + std::to_string(found->second.version) + "\"" : "";
  if (HeaderValue(request, "If-Match") != tag ||
      (!exists && HeaderValue(request, "If-None-Match") != "*")) {
    return Refusal(409, "conflict");
  }
  if (request.method == "DELETE") {
    this->entries.erase(found);
    return {200, "{}", {}};
  }
  Entry& entry = this->entries[key];
  entry = {request.body, this->next_version++, this->reads_until_in_force};
  return {exists ? 200U : 201U, this->ToJson(key, entry), {}};
}

ServerReply FakeNode::Read(const std::string& key) {
  const auto found = this->entries.find(key);
  if (found == this->entries.end()) {
    return Refusal(404, "not-found");
  }
  if (found->second.reads_until_in_force > 0) {
    --found->second.reads_until_in_force;
  }
  return {200, this->ToJson(key, found->second), {}};
}

ServerReply FakeNode::List(const std::string& kind) {
  std::string list;
  for (const auto& [key, entry] : this->entries) {
    if (key.starts_with(kind + "/")) {
      list += (list.empty() ? "" : ",") + this->ToJson(key, entry);
    }
  }
  return {200,
          R"({"next":)" + std::to_string(this->next_version) +
              R"(,"resources":[)" + list + "]}",
          {}};
}

std::string FakeNode::ToJson(const std::string& key, const Entry& entry) const {
  const size_t slash = key.find('/');
  const bool in_force = entry.reads_until_in_force == 0;
  return R"({"kind":")" + key.substr(0, slash) + R"(","name":")" +
         key.substr(slash + 1) + R"(","version":)" +
         std::to_string(entry.version) + R"(,"body":)" + entry.body +
         R"(,"status":{"accepted_at":"2026-03-01T10:00:00Z",)" +
         R"("in_force_on":["lyulin-1"],"in_force":)" +
         (in_force ? "true" : "false") + "}}";
}

}  // namespace basilsill::ctl
