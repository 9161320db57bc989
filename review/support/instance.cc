#include "instance.h"

#include <cmath>
#include <cstdlib>
#include <functional>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr Milliseconds kHeartbeat{1500};
constexpr Milliseconds kPoll{2};
constexpr Milliseconds kNoDeadline{60000};

std::string MakeAnswer(const std::string& status,
                       const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

std::string BodyOf(const std::string& id, size_t bytes) {
  const std::string line = "answer to " + id + "\n";
  std::string body;
  while (body.size() < bytes) {
    body += line;
  }
  body.resize(bytes);
  return body;
}

Instance::Instance(InstanceOptions given, Store& store, Record& record)
    : options(std::move(given)),
      store(store),
      record(record),
      random(
          static_cast<uint32_t>(std::hash<std::string>()(this->options.id))) {
  this->server = std::make_unique<Server>(
      this->options.address, 0,
      [this](Connection& connection) { this->Serve(connection); });
  std::thread([this] { this->RenewEntry(); }).detach();
}

void Instance::RenewEntry() {
  for (uint64_t sequence = 1;; ++sequence) {
    this->store.Put("keyed.servers", this->options.id,
                    R"({"address":")" + this->options.address + ":" +
                        std::to_string(this->server->port()) +
                        R"(","info":{"service":")" + this->options.service +
                        R"(","version":"v1","zone":")" + this->options.zone +
                        R"(","max_concurrency":)" +
                        std::to_string(this->options.slots) +
                        R"(},"status":{"state":"ready","sequence":)" +
                        std::to_string(sequence) + R"(,"cold_left":"0ms"}})");
    std::this_thread::sleep_for(kHeartbeat);
  }
}

bool Instance::Draw(double share) {
  const std::lock_guard lock(this->mutex);
  return std::bernoulli_distribution(share)(this->random);
}

std::string Instance::Load() {
  return this->options.tells_load
             ? "X-Instance-Load: " + std::to_string(this->running) + "," +
                   std::to_string(this->waiting) + "," +
                   std::to_string(this->options.slots) + ",100\r\n"
             : "";
}

std::string Instance::Headers(const Message& request) {
  return "X-Attempt-Id: " + request.Header("X-Attempt-Id") +
         "\r\nX-Served-By: " + this->options.id + "\r\n" + this->Load();
}

void Instance::Serve(Connection& connection) {
  Message request;
  std::string left_over;
  while (ReadMessage(connection, request) == ReadResult::kWhole) {
    if (!this->AnswerOne(connection, request, left_over)) {
      return;
    }
  }
}

// @param left_over An answer that is sent once more before the next one.
bool Instance::AnswerOne(Connection& connection,
                         const Message& request,
                         std::string& left_over) {
  if (!left_over.empty() && !connection.Write(std::exchange(left_over, ""))) {
    return false;
  }
  if (request.start_line.find(" /health ") != std::string::npos) {
    std::this_thread::sleep_for(this->options.health_time);
    return connection.Write(this->AnswerHealth());
  }
  std::string answer = this->Handle(connection, request);
  if (answer.empty()) {
    return false;
  }
  const std::string attempt = request.Header("X-Attempt-Id");
  if (this->Draw(this->misbehaviour.repeats)) {
    this->record.Note("answer to " + attempt + " is sent twice by " +
                      this->options.id);
    answer += answer;
  } else if (this->Draw(this->misbehaviour.repeats_late)) {
    this->record.Note("answer to " + attempt + " will be sent again by " +
                      this->options.id);
    left_over = answer;
  }
  return connection.Write(answer);
}

std::string Instance::Handle(const Connection& connection,
                             const Message& request) {
  const std::string attempt = request.Header("X-Attempt-Id");
  const std::string expected = request.Header("X-Expect-Instance");
  if (!expected.empty() && expected != this->options.id) {
    return this->Reject(request, "421 Misdirected Request");
  }
  if (this->Draw(this->misbehaviour.rejects) ||
      this->running + this->waiting >=
          this->options.slots + this->options.queue) {
    this->record.Note("rejects " + attempt + " at " + this->options.id);
    return this->Reject(request, "503 Service Unavailable");
  }
  if (this->Draw(this->misbehaviour.mutes)) {
    this->record.Note("never answers " + attempt + " at " + this->options.id);
    while (!connection.HasClosed()) {
      std::this_thread::sleep_for(kPoll);
    }
    return "";
  }
  const std::string left = request.Header("X-Deadline-Ms");
  const auto deadline =
      Clock::now() +
      (left.empty() ? kNoDeadline
                    : Milliseconds(std::strtol(left.c_str(), nullptr, 10)));
  const Outcome waited = this->WaitForSlot(connection, deadline);
  if (waited == Outcome::kDeadline) {
    return this->Reject(request, "503 Service Unavailable");
  }
  const Outcome worked = waited == Outcome::kDone
                             ? this->Work(connection, attempt, deadline)
                             : waited;
  if (worked == Outcome::kClosed) {
    return "";
  }
  return this->Complete(
      request, worked == Outcome::kDone ? "200 OK" : "504 Gateway Timeout");
}

std::string Instance::AnswerHealth() {
  return MakeAnswer(
      this->misbehaviour.says_ill ? "503 Service Unavailable" : "200 OK",
      "X-Served-By: " + this->options.id + "\r\n" + this->Load(), "");
}

std::string Instance::Reject(const Message& request,
                             const std::string& status) {
  return MakeAnswer(status, this->Headers(request) + "X-Not-Executed: 1\r\n",
                    "");
}

std::string Instance::Complete(const Message& request,
                               const std::string& status) {
  const std::string body =
      BodyOf(request.Header("X-Attempt-Id"), this->options.body_bytes);
  return MakeAnswer(status,
                    this->Headers(request) +
                        "X-Response-Seal: " + this->options.id + "." +
                        std::to_string(std::hash<std::string>()(body)) + "\r\n",
                    body);
}

Instance::Outcome Instance::WaitForSlot(const Connection& connection,
                                        Clock::time_point deadline) {
  ++this->waiting;
  Outcome outcome = Outcome::kDone;
  bool has_slot = false;
  while (!has_slot && outcome == Outcome::kDone) {
    {
      const std::lock_guard lock(this->mutex);
      has_slot = this->running < this->options.slots;
      this->running += has_slot ? 1 : 0;
    }
    if (!has_slot) {
      std::this_thread::sleep_for(kPoll);
      outcome = Clock::now() >= deadline ? Outcome::kDeadline
                : connection.HasClosed() ? Outcome::kClosed
                                         : Outcome::kDone;
    }
  }
  --this->waiting;
  return outcome;
}

// A request ends when its connection closes, as with most instances, and at its
// deadline.
Instance::Outcome Instance::Work(const Connection& connection,
                                 const std::string& attempt,
                                 Clock::time_point deadline) {
  this->record.OnRun(attempt, this->options.id);
  double factor = 1;
  {
    const std::lock_guard lock(this->mutex);
    factor =
        std::exp(std::normal_distribution<>(0, this->options.spread)(random));
  }
  const auto until = Clock::now() + std::chrono::duration_cast<Milliseconds>(
                                        this->options.work * factor);
  Outcome outcome = Outcome::kDone;
  while (outcome == Outcome::kDone && Clock::now() < until) {
    std::this_thread::sleep_for(kPoll);
    outcome = Clock::now() >= deadline ? Outcome::kDeadline
              : connection.HasClosed() ? Outcome::kClosed
                                       : Outcome::kDone;
  }
  --this->running;
  constexpr const char* kHow[] = {"whole", "connection closed", "deadline"};
  this->record.OnRunEnded(attempt, kHow[static_cast<size_t>(outcome)]);
  return outcome;
}

}  // namespace review
