#ifndef BASILSILL_REVIEW_SUPPORT_STORE_H_
#define BASILSILL_REVIEW_SUPPORT_STORE_H_

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

/// A sound stand-in for the platform's store: keyed topics with one partition,
/// kept in memory.

namespace review {

class Store {
 public:
  explicit Store(const std::string& address);

  uint16_t port() const { return this->server->port(); }

  /// Writes the newest record of `key`. An empty value removes the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);

 private:
  struct Item {
    std::string value;
    uint64_t offset = 0;
  };
  struct Topic {
    std::vector<std::string> records;  ///< As on the wire.
    std::map<std::string, Item> newest;
  };

  void Serve(Connection& connection);
  std::string Answer(const Message& request);
  std::string Append(const std::string& target, const std::string& body);
  std::string Read(const std::string& target);
  std::string ListNewest(const std::string& target);
  static void Add(Topic& topic,
                  const std::string& key,
                  const std::string& value);

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Topic> topics;
  std::unique_ptr<Server> server;
};

}  // namespace review

#endif  // BASILSILL_REVIEW_SUPPORT_STORE_H_
