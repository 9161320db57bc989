#ifndef BASILSILL_CTL_TEST_FAKE_NODE_H_
#define BASILSILL_CTL_TEST_FAKE_NODE_H_

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "basilsill/ctl/http_server.h"

/// Fake node with the resource API, an in-memory store and its own thread.

namespace basilsill::ctl {

class FakeNode {
 public:
  FakeNode();
  FakeNode(const FakeNode&) = delete;
  FakeNode& operator=(const FakeNode&) = delete;
  ~FakeNode();

  std::string endpoint() const { return ToString(this->server.endpoint()); }

  /// The next PUT or DELETE takes effect, but its response is lost.
  /// @param replacement Response that is sent instead; std::nullopt closes the
  /// connection without a response.
  void DropNextResponse(std::optional<ServerReply> replacement);

  /// Answers all requests with `reply`; a reply with status 200 ends this.
  void RefuseAll(ServerReply reply);

  /// Reports resources that are written from now on as in force from their
  /// `reads`-th read on.
  void SetReadsUntilInForce(int reads);

  /// Sets the body of `GET /api/v1/watch`.
  void SetWatchLines(std::string lines);

  /// @returns all requests so far, as "METHOD target".
  std::vector<std::string> Calls();

 private:
  struct Entry {
    std::string body;
    uint64_t version = 0;
    int reads_until_in_force = 0;
  };

  std::optional<ServerReply> HandleRequest(const ServerRequest& request);
  ServerReply ChangeOnce(const ServerRequest& request, const std::string& key);
  ServerReply Change(const ServerRequest& request, const std::string& key);
  ServerReply Read(const std::string& key);
  ServerReply List(const std::string& kind);
  std::string ToJson(const std::string& key, const Entry& entry) const;

  boost::asio::io_context io;
  std::mutex mutex;
  std::map<std::string, Entry> entries;
  uint64_t next_version = 17;
  bool drop_next_response = false;
  std::optional<ServerReply> replacement_response;
  ServerReply refusal;
  int reads_until_in_force = 0;
  std::string watch_lines;
  std::vector<std::string> calls;
  std::map<std::string, ServerReply> replies_by_change_id;
  HttpServer server;
  std::thread thread;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_TEST_FAKE_NODE_H_
