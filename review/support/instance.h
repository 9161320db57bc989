#ifndef BASILSILL_REVIEW_SUPPORT_INSTANCE_H_
#define BASILSILL_REVIEW_SUPPORT_INSTANCE_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "net.h"
#include "record.h"
#include "store.h"

/// A stand-in for an instance of the users. It runs and queues requests as the
/// pages say, echoes the attempt's id in every answer to a request, and renews
/// its entry in the store.

namespace review {

struct InstanceOptions {
  std::string id;
  std::string address;
  std::string service;
  std::string zone;
  Milliseconds work{0};  ///< Mean time that a request runs.
  double spread = 0.3;
  size_t slots = 2;
  size_t queue = 4;
  bool tells_load = false;
  size_t body_bytes = 100;
  /// Time that a health check takes.
  Milliseconds health_time{1};
};

/// @returns the body of an instance's answer to the attempt `id`.
std::string BodyOf(const std::string& id, size_t bytes);

/// Faulty behaviour, which a scenario switches on and off.
struct Misbehaviour {
  /// Share of the requests that the instance rejects though it has room.
  std::atomic<double> rejects{0};
  /// Share of the answers that it sends twice, both copies at once.
  std::atomic<double> repeats{0};
  /// Share of the answers that it sends once more, when the next answer is due
  /// on the connection.
  std::atomic<double> repeats_late{0};
  /// Share of the requests that the instance never answers.
  std::atomic<double> mutes{0};
  /// The health check says ill, though the instance is well.
  std::atomic<bool> says_ill{false};
};

class Instance {
 public:
  Instance(InstanceOptions options, Store& store, Record& record);

  const std::string& id() const { return this->options.id; }
  Misbehaviour misbehaviour;

 private:
  enum class Outcome { kDone, kClosed, kDeadline };

  void Serve(Connection& connection);
  bool AnswerOne(Connection& connection,
                 const Message& request,
                 std::string& left_over);
  std::string AnswerHealth();
  std::string Reject(const Message& request, const std::string& status);
  std::string Complete(const Message& request, const std::string& status);
  /// @returns an empty text if the connection was closed.
  std::string Handle(const Connection& connection, const Message& request);
  Outcome WaitForSlot(const Connection& connection, Clock::time_point deadline);
  Outcome Work(const Connection& connection,
               const std::string& attempt,
               Clock::time_point deadline);
  std::string Headers(const Message& request);
  std::string Load();
  bool Draw(double share);
  void RenewEntry();

  InstanceOptions options;
  Store& store;
  Record& record;
  std::mutex mutex;
  std::mt19937 random;
  std::atomic<size_t> running{0};
  std::atomic<size_t> waiting{0};
  std::unique_ptr<Server> server;
};

}  // namespace review

#endif  // BASILSILL_REVIEW_SUPPORT_INSTANCE_H_
