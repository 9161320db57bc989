// Stand-ins for the review's scripts: the platform's store, instances, callers,
// and a wrapper that starts real nodes. All of it runs in one process, with a
// thread for each connection, on loopback addresses.

#ifndef REVIEW_RIG_H_
#define REVIEW_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// @returns the seconds since the start of the script.
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

// ---------------------------------------------------------------- the record

/// Writes one line for each thing that a client, an instance or the store saw.
class Record {
 public:
  explicit Record(const std::string& path)
      : file(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (this->file != nullptr) {
      std::fclose(this->file);
    }
  }

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->file == nullptr) {
      return;
    }
    std::fprintf(this->file, "%9.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(this->file, format, arguments);
    va_end(arguments);
    std::fputc('\n', this->file);
    std::fflush(this->file);
  }

 private:
  std::mutex mutex;
  std::FILE* file;
};

// --------------------------------------------------------------- connections

struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

/// A connected socket with a read buffer.
class Connection {
 public:
  explicit Connection(int fd) : fd(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @param receive_buffer Bytes of the socket's receive buffer; 0: as usual.
  static std::unique_ptr<Connection> Open(const Address& to,
                                          double timeout = 1.0,
                                          int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
      // As on a network: loopback's segments of 64 KB make buffers of
      // megabytes.
      const int segment = 1448;
      setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    const sockaddr_in at = ToSockaddr(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 &&
        errno != EINPROGRESS) {
      close(fd);
      return nullptr;
    }
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&wait, 1, static_cast<int>(timeout * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    return std::make_unique<Connection>(fd);
  }

  bool Send(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = send(this->fd, bytes.data() + sent, bytes.size() - sent,
                             MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  /// Reads what is there, waiting until `until`.
  /// @returns false at the end of the connection, at an error or a time-out.
  bool Fill(double until, size_t most = 65536) {
    const double left = until - Now();
    pollfd wait{this->fd, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) != 1) {
      this->timed_out = true;
      return false;
    }
    std::vector<char> bytes(most);
    const ssize_t n = recv(this->fd, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
      this->was_reset = n < 0;
      this->ended = true;
      return false;
    }
    this->buffer.append(bytes.data(), static_cast<size_t>(n));
    Sleep(this->pause);
    return true;
  }

  /// @returns the head up to and with its blank line; empty if it did not come.
  std::string ReadHead(double until) {
    size_t end;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(until)) {
        return "";
      }
    }
    std::string head = this->buffer.substr(0, end + 4);
    this->buffer.erase(0, end + 4);
    return head;
  }

  bool ReadBytes(size_t count, std::string& out, double until) {
    while (this->buffer.size() < count) {
      if (!this->Fill(until)) {
        return false;
      }
    }
    out.append(this->buffer, 0, count);
    this->buffer.erase(0, count);
    return true;
  }

  bool ReadLine(std::string& out, double until) {
    size_t end;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->Fill(until)) {
        return false;
      }
    }
    out = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }

  /// @returns true if the other side has closed or reset the connection.
  bool IsClosedByPeer() const {
    char byte;
    const ssize_t n = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Reset() {
    const linger option{1, 0};
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    this->Close();
  }

  void Close() {
    if (this->fd >= 0) {
      close(this->fd);
      this->fd = -1;
    }
  }

  /// Ends a blocked call of another thread.
  void Shutdown() {
    if (this->fd >= 0) {
      shutdown(this->fd, SHUT_RDWR);
    }
  }

  int fd;
  double pause = 0;  ///< After each read, for a caller with a slow link.
  std::string buffer;
  bool ended = false;
  bool was_reset = false;
  bool timed_out = false;
};

inline int ListenOn(Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof at;
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  address.port = ntohs(at.sin_port);
  return fd;
}

/// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(std::shared_ptr<Connection>)>;

  Server(Address at, Serve serve)
      : address(std::move(at)), serve(std::move(serve)) {
    this->listener = ListenOn(this->address);
    this->thread = std::thread([this] { this->Run(); });
  }
  ~Server() { this->Stop(); }

  bool ok() const { return this->listener >= 0; }

  void Stop() {
    if (this->stopped.exchange(true)) {
      return;
    }
    shutdown(this->listener, SHUT_RDWR);
    close(this->listener);
    this->thread.join();
    this->EndConnections();
    while (this->running.load() > 0) {
      Sleep(0.001);
    }
  }

  /// Breaks off all open connections, as the end of the process would.
  void EndConnections() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const std::weak_ptr<Connection>& weak : this->open) {
      if (const auto connection = weak.lock()) {
        connection->Shutdown();
      }
    }
    this->open.clear();
  }

  Address address;

 private:
  void Run() {
    while (!this->stopped.load()) {
      const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (this->stopped.load()) {
          return;
        }
        Sleep(0.002);
        continue;
      }
      const auto connection = std::make_shared<Connection>(fd);
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        std::erase_if(this->open,
                      [](const auto& weak) { return weak.expired(); });
        this->open.push_back(connection);
      }
      ++this->running;
      std::thread([this, connection] {
        this->serve(connection);
        --this->running;
      }).detach();
    }
  }

  Serve serve;
  int listener = -1;
  std::thread thread;
  std::atomic<bool> stopped{false};
  std::atomic<int> running{0};
  std::mutex mutex;
  std::vector<std::weak_ptr<Connection>> open;
};

// ----------------------------------------------------------------------- HTTP

struct Message {
  std::string first;  ///< Start line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : this->fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [key, value] : this->fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return true;
      }
    }
    return false;
  }
  /// The word at `index` of the start line.
  std::string Word(size_t index) const {
    size_t from = 0;
    for (size_t i = 0; i < index; ++i) {
      from = this->first.find(' ', from);
      if (from == std::string::npos) {
        return "";
      }
      ++from;
    }
    return this->first.substr(from, this->first.find(' ', from) - from);
  }
};

inline bool ParseHead(const std::string& head, Message& out) {
  size_t from = 0;
  bool first = true;
  while (from < head.size()) {
    const size_t end = head.find("\r\n", from);
    if (end == std::string::npos || end == from) {
      return !first;
    }
    const std::string line = head.substr(from, end - from);
    from = end + 2;
    if (first) {
      out.first = line;
      first = false;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    out.fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return !first;
}

enum class BodyEnd { kWhole, kBroken };

/// Reads the body that the head of `message` declares.
inline BodyEnd ReadBody(Connection& from, Message& message, double until) {
  if (strcasecmp(message.Field("Transfer-Encoding").c_str(), "chunked") == 0) {
    for (;;) {
      std::string line;
      if (!from.ReadLine(line, until)) {
        return BodyEnd::kBroken;
      }
      const size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) {
        while (from.ReadLine(line, until)) {
          if (line.empty()) {
            return BodyEnd::kWhole;
          }
        }
        return BodyEnd::kBroken;
      }
      if (!from.ReadBytes(size, message.body, until) ||
          !from.ReadLine(line, until)) {
        return BodyEnd::kBroken;
      }
    }
  }
  const size_t length =
      std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
  return from.ReadBytes(length, message.body, until) ? BodyEnd::kWhole
                                                     : BodyEnd::kBroken;
}

// ----------------------------------------------------------- the platform's
// store

inline std::string Base64(const std::string& in) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t bits = static_cast<unsigned char>(in[i]) << 16;
    bits |= i + 1 < in.size() ? static_cast<unsigned char>(in[i + 1]) << 8 : 0;
    bits |= i + 2 < in.size() ? static_cast<unsigned char>(in[i + 2]) : 0;
    out += digits[bits >> 18];
    out += digits[bits >> 12 & 63];
    out += i + 1 < in.size() ? digits[bits >> 6 & 63] : '=';
    out += i + 2 < in.size() ? digits[bits & 63] : '=';
  }
  return out;
}

inline std::string Big(uint64_t value, int bytes) {
  std::string out;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    out += static_cast<char>(value >> shift & 0xff);
  }
  return out;
}

/// The log of the platform: topics with partitions, reads that wait, and the
/// newest record of each key.
class Store {
 public:
  explicit Store(Address at)
      : server(std::move(at),
               [this](std::shared_ptr<Connection> c) { this->Serve(*c); }) {}

  /// Writes the record of a key, as the operator and the instances do.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Add(this->partitions[topic + "/0"],
              std::string(1, static_cast<char>(key.size())) + key + value);
  }

  Address address() const { return this->server.address; }
  bool ok() const { return this->server.ok(); }
  void Stop() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->stopped = true;
    }
    this->changed.notify_all();
    this->server.Stop();
  }

  std::atomic<uint64_t> calls{0};

 private:
  struct Partition {
    std::vector<std::string> records;
  };

  void Add(Partition& partition, std::string content) {
    partition.records.push_back(std::move(content));
    this->changed.notify_all();
  }

  static std::string Query(const std::string& target, const std::string& name) {
    size_t from = target.find('?');
    while (from != std::string::npos) {
      const size_t end = target.find('&', from + 1);
      const std::string part = target.substr(
          from + 1, end == std::string::npos ? end : end - from - 1);
      if (part.rfind(name + "=", 0) == 0) {
        return Decode(part.substr(name.size() + 1));
      }
      from = end;
    }
    return "";
  }

  static std::string Decode(const std::string& text) {
    std::string out;
    for (size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(
            std::strtoul(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  void Serve(Connection& from) {
    for (;;) {
      Message request;
      if (!ParseHead(from.ReadHead(Now() + 600), request) ||
          ReadBody(from, request, Now() + 10) != BodyEnd::kWhole) {
        return;
      }
      ++this->calls;
      Sleep(0.004);
      const std::string target = request.Word(1);
      const std::string path = target.substr(0, target.find('?'));
      std::string body;
      int status = 404;
      std::string type = "application/json";
      if (path == "/basilsill/log-append") {
        status = this->Append(target, request.body, body);
      } else if (path == "/basilsill/log-read") {
        type = "application/octet-stream";
        status = this->Read(target, body);
      } else if (path == "/basilsill/log-newest") {
        status = this->Newest(target, body);
      }
      if (!from.Send("HTTP/1.1 " + std::to_string(status) +
                     " X\r\nContent-Type: " + type + "\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  Partition& Of(const std::string& target) {
    return this
        ->partitions[Query(target, "topic") + "/" + Query(target, "part")];
  }

  int Append(const std::string& target,
             const std::string& raw,
             std::string& body) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Partition& partition = this->Of(target);
    const std::string at = Query(target, "at");
    const size_t end = partition.records.size();
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != end) {
      body = "{\"end\":" + std::to_string(end) + "}";
      return 412;
    }
    for (size_t from = 0; from + 4 <= raw.size();) {
      uint32_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(raw[from + i]);
      }
      this->Add(partition, raw.substr(from + 4, size));
      from += 4 + size;
    }
    body = "{\"offset\":" + std::to_string(end) +
           ",\"end\":" + std::to_string(partition.records.size()) + "}";
    return 200;
  }

  int Read(const std::string& target, std::string& body) {
    std::unique_lock<std::mutex> lock(this->mutex);
    Partition& partition = this->Of(target);
    const uint64_t from =
        std::strtoull(Query(target, "from").c_str(), nullptr, 10);
    const int wait = std::atoi(Query(target, "wait_ms").c_str());
    this->changed.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return this->stopped || partition.records.size() > from;
    });
    body = Big(partition.records.size(), 8) + Big(0, 8);
    for (uint64_t i = from;
         i < partition.records.size() && body.size() < 900000; ++i) {
      body += Big(partition.records[i].size(), 4) + partition.records[i];
    }
    return 200;
  }

  int Newest(const std::string& target, std::string& body) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const Partition& partition = this->Of(target);
    std::map<std::string, std::pair<size_t, std::string>> newest;
    for (size_t i = 0; i < partition.records.size(); ++i) {
      const std::string& record = partition.records[i];
      const size_t size = static_cast<unsigned char>(record[0]);
      const std::string value = record.substr(1 + size);
      if (value.empty()) {
        newest.erase(record.substr(1, size));
      } else {
        newest[record.substr(1, size)] = {i, value};
      }
    }
    const std::string after = Query(target, "after");
    body = "{\"items\":[";
    bool more = false;
    size_t count = 0;
    for (const auto& [key, item] : newest) {
      if (!after.empty() && key <= after) {
        continue;
      }
      if (++count > 500) {
        more = true;
        break;
      }
      body += (count > 1 ? "," : "") + std::string("{\"key\":\"") + key +
              "\",\"value\":\"" + Base64(item.second) +
              "\",\"offset\":" + std::to_string(item.first) + "}";
    }
    body += std::string("],\"has_more\":") + (more ? "true" : "false") +
            ",\"end\":" + std::to_string(partition.records.size()) + "}";
    return 200;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Partition> partitions;
  bool stopped = false;
  Server server;
};

// ------------------------------------------------------------------ instances

/// One request as an instance got it.
struct Arrival {
  std::string instance;
  std::string id;
  Message request;
  Connection* connection = nullptr;
};

/// An instance of a service: lists itself in the store, answers health checks,
/// and hands each request that it has a slot for to `run`.
class Instance {
 public:
  /// Answers the request on its connection.
  /// @returns true if the connection can carry another request.
  using Run = std::function<bool(Instance&, Arrival&)>;

  Instance(Store& store,
           std::string id,
           std::string service,
           std::string zone,
           std::string ip,
           int slots,
           int queue,
           Run run)
      : id(std::move(id)),
        service(std::move(service)),
        zone(std::move(zone)),
        slots(slots),
        queue(queue),
        store(store),
        run(std::move(run)),
        server({std::move(ip), 0},
               [this](std::shared_ptr<Connection> c) { this->Serve(*c); }) {
    this->List();
    this->heart = std::thread([this] {
      double next = Now() + 1.5;
      while (!this->stopped.load()) {
        if (Now() >= next) {
          this->List();
          next += 1.5;
        }
        Sleep(0.02);
      }
    });
  }
  ~Instance() { this->Stop(); }

  void Stop() {
    if (!this->stopped.exchange(true)) {
      this->heart.join();
      this->free.notify_all();
      this->server.Stop();
    }
  }

  Address address() const { return this->server.address; }
  bool ok() const { return this->server.ok(); }

  std::string LoadText() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return std::to_string(this->busy) + "," + std::to_string(this->waiting) +
           "," + std::to_string(this->slots) + ",100";
  }

  std::string Seal(const std::string& request_id) const {
    return "seal." + this->id + "." + request_id;
  }

  /// Head of an answer of this instance, with all that instances say of
  /// themselves.
  std::string Head(const std::string& request_id,
                   int status,
                   long length,
                   bool sealed = true) {
    std::string head = "HTTP/1.1 " + std::to_string(status) +
                       " X\r\nX-Attempt-Id: " + request_id +
                       "\r\nX-Instance-Load: " + this->LoadText() + "\r\n";
    if (sealed) {
      head += "X-Response-Seal: " + this->Seal(request_id) + "\r\n";
    }
    if (length >= 0) {
      head += "Content-Length: " + std::to_string(length) + "\r\n";
    }
    return head + "\r\n";
  }

  std::string id;
  std::string service;
  std::string zone;
  int slots;
  int queue;

 private:
  void List() {
    this->store.Put(
        "keyed.servers", this->id,
        "{\"address\":\"" + this->server.address.Text() +
            "\",\"info\":{\"service\":\"" + this->service +
            "\",\"version\":\"v1\",\"zone\":\"" + this->zone +
            "\",\"max_concurrency\":" + std::to_string(this->slots) +
            "},\"status\":{\"state\":\"ready\",\"sequence\":" +
            std::to_string(this->sequence++) + ",\"cold_left\":\"0ms\"}}");
  }

  void Serve(Connection& from) {
    for (;;) {
      Arrival arrival;
      arrival.instance = this->id;
      arrival.connection = &from;
      if (!ParseHead(from.ReadHead(Now() + 10), arrival.request)) {
        return;
      }
      const Message& request = arrival.request;
      if (request.Word(1) == "/health") {
        if (!from.Send("HTTP/1.1 200 OK\r\nX-Served-By: " + this->id +
                       "\r\nX-Instance-Load: " + this->LoadText() +
                       "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      arrival.id = request.Field("X-Attempt-Id");
      const std::string expected = request.Field("X-Expect-Instance");
      if (!expected.empty() && expected != this->id) {
        if (ReadBody(from, arrival.request, Now() + 10) != BodyEnd::kWhole ||
            !from.Send("HTTP/1.1 421 X\r\nX-Attempt-Id: " + arrival.id +
                       "\r\nX-Served-By: " + this->id +
                       "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (!this->Enter()) {
        if (ReadBody(from, arrival.request, Now() + 10) != BodyEnd::kWhole ||
            !from.Send("HTTP/1.1 503 X\r\nX-Attempt-Id: " + arrival.id +
                       "\r\nX-Not-Executed: 1\r\nX-Instance-Load: " +
                       this->LoadText() + "\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      const bool keep = this->run(*this, arrival);
      this->Leave();
      if (!keep) {
        return;
      }
    }
  }

  /// Waits for a slot. @returns false if the queue is full.
  bool Enter() {
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->busy >= this->slots && this->waiting >= this->queue) {
      return false;
    }
    ++this->waiting;
    this->free.wait(lock, [this] {
      return this->busy < this->slots || this->stopped.load();
    });
    --this->waiting;
    ++this->busy;
    return true;
  }

  void Leave() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->busy;
    this->free.notify_one();
  }

  Store& store;
  Run run;
  std::mutex mutex;
  std::condition_variable free;
  int busy = 0;
  int waiting = 0;
  std::atomic<uint64_t> sequence{1};
  std::atomic<bool> stopped{false};
  std::thread heart;
  Server server;
};

// ---------------------------------------------------------------------- nodes

/// One node, started with the command of the deploy file.
class Node {
 public:
  struct Ports {
    uint16_t front = 0;
    uint16_t ready = 0;
    uint16_t control = 0;
    uint16_t internal = 0;
  };

  Node(std::string name,
       std::string zone,
       std::string ip,
       Ports ports,
       std::string folder)
      : name(std::move(name)),
        zone(std::move(zone)),
        ip(std::move(ip)),
        ports(ports),
        folder(std::move(folder)) {}
  ~Node() { this->Kill(); }

  Address front() const { return {this->ip, this->ports.front}; }
  Address ready() const { return {this->ip, this->ports.ready}; }

  void WriteSettings(const Address& store,
                     const std::vector<std::string>& zones,
                     bool first) {
    std::string text =
        "self.node=" + this->name +
        "\nself.role=node\nself.machine_class=edge\n"
        "self.serves=edge\nself.ip=" +
        this->ip + "\nself.zone=" + this->zone +
        "\nself.region=r1\nself.loss_counted=false\nself.bootstrap=" +
        (first ? "true" : "false") +
        "\nself.limits.cpu_share=0.2\nself.limits.cores=1\nself.limits.memory_"
        "mb=260\n"
        "self.limits.max_fds=4100\nself.limits.link_mbps=1000.0\nself.limits."
        "disk_mb=0\n"
        "network.listen.front=" +
        this->ip + ":" + std::to_string(this->ports.front) +
        "\nnetwork.listen.ready=" + this->ip + ":" +
        std::to_string(this->ports.ready) +
        "\nnetwork.listen.control=" + this->ip + ":" +
        std::to_string(this->ports.control) +
        "\nnetwork.internal_ports=" + std::to_string(this->ports.internal) +
        "," + std::to_string(this->ports.internal + 15) + "\n";
    for (const std::string& each : zones) {
      text += "network.zones." + each + "=r1\n";
    }
    text +=
        "platform.discovery=platform\nplatform.entry=vip\nplatform.heartbeat="
        "1500ms\n"
        "platform.platform.address=" +
        store.Text() +
        "\nplatform.platform.form=log\n"
        "platform.platform.writes_per_s=400\nplatform.platform.reads_per_s="
        "2000\n"
        "platform.platform.parts=8\nplatform.platform.append=4ms\n"
        "platform.platform.keep=300s\nplatform.platform.part_mb=200\n"
        "terms.contracts=base,drain,config,cost,retry,recover,health,platform\n"
        "terms.bounds.seed_lag=3s\nterms.bounds.reuse_after=2s\n"
        "terms.bounds.stability_window=3000ms\nterms.bounds.ack=4000ms\n"
        "terms.bounds.catch_up=4s\nterms.bounds.drain=2000ms\nterms.bounds."
        "grace=6s\n"
        "terms.bounds.loss_slack=200ms\nterms.bounds.config_apply=2000ms\n"
        "terms.bounds.rollback_slack=250ms\nterms.bounds.max_stretch=5000ms\n"
        "terms.bounds.budget_ratio=0.2\nterms.bounds.budget_window=10s\n"
        "terms.bounds.budget_slack=56\nterms.bounds.recover=15s\nterms.bounds."
        "probes_per_s=60\n";
    std::FILE* file =
        std::fopen((this->folder + "/" + this->name + ".conf").c_str(), "w");
    std::fwrite(text.data(), 1, text.size(), file);
    std::fclose(file);
  }

  bool Start(const std::string& program) {
    const std::string settings =
        "BASILSILL_NODE_FILE=" + this->folder + "/" + this->name + ".conf";
    const std::string log = this->folder + "/" + this->name + ".log";
    this->pid = fork();
    if (this->pid == 0) {
      // The node ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const char* path = std::getenv("PATH");
      const std::string path_text =
          std::string("PATH=") + (path != nullptr ? path : "/usr/bin:/bin");
      std::vector<char> env_path(path_text.begin(), path_text.end());
      env_path.push_back(0);
      std::vector<char> env_file(settings.begin(), settings.end());
      env_file.push_back(0);
      char* environment[] = {env_path.data(), env_file.data(), nullptr};
      char adapter[] = "--adapter";
      std::vector<char> name_text(program.begin(), program.end());
      name_text.push_back(0);
      char* arguments[] = {name_text.data(), adapter, nullptr};
      execve(program.c_str(), arguments, environment);
      _exit(127);
    }
    return this->pid > 0;
  }

  void Signal(int number) const {
    if (this->pid > 0) {
      kill(this->pid, number);
    }
  }

  /// @returns true if the process has ended; its status is in `status` then.
  bool HasEnded() {
    if (this->pid > 0 &&
        waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
      this->pid = -1;
    }
    return this->pid <= 0;
  }

  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      kill(this->pid, SIGCONT);
      waitpid(this->pid, &this->status, 0);
      this->pid = -1;
    }
  }

  bool IsReady() const {
    const auto connection = Connection::Open(this->ready(), 0.3);
    if (!connection ||
        !connection->Send("GET /basilsill/ready HTTP/1.1\r\nHost: a\r\n\r\n")) {
      return false;
    }
    return connection->ReadHead(Now() + 0.5).rfind("HTTP/1.1 200", 0) == 0;
  }

  std::string name;
  std::string zone;
  std::string ip;
  Ports ports;
  std::string folder;
  pid_t pid = -1;
  int status = 0;
};

// --------------------------------------------------------------- configuration

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 2500;
  int target_ms = 400;
  int priority = 2;
  int max_attempts = 2;
};

inline std::string ConfigText(uint64_t version,
                              const std::vector<Route>& routes,
                              const std::vector<std::string>& services) {
  char hex[16];
  std::snprintf(hex, sizeof hex, "%08llx",
                static_cast<unsigned long long>(version));
  std::string text = std::string("{\"version\":\"") + hex + "\",\"routes\":[";
  for (size_t i = 0; i < routes.size(); ++i) {
    const Route& r = routes[i];
    text += (i ? "," : "") + std::string("{\"name\":\"") + r.name +
            "\",\"hostname\":\"" + r.host + "\",\"path_prefix\":\"" + r.prefix +
            "\",\"kind\":\"" + r.kind + "\",\"timeout\":\"" +
            std::to_string(r.timeout_ms) + "ms\",\"target_latency\":\"" +
            std::to_string(r.target_ms) +
            "ms\",\"priority\":" + std::to_string(r.priority) +
            ",\"service\":\"" + r.service +
            "\",\"max_attempts\":" + std::to_string(r.max_attempts) + "}";
  }
  text += "],\"services\":[";
  for (size_t i = 0; i < services.size(); ++i) {
    text += (i ? "," : "") + std::string("{\"name\":\"") + services[i] +
            "\",\"health_path\":\"/"
            "health\",\"max_conns\":220,\"protocol\":\"h1\",\"tls\":false}";
  }
  return text +
         "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
}

// -------------------------------------------------------------- a whole set-up

/// A temporary folder that is removed at the end unless RIG_KEEP is set.
class Folder {
 public:
  Folder() {
    const char* base = std::getenv("TMPDIR");
    std::string text =
        std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    std::vector<char> name(text.begin(), text.end());
    name.push_back(0);
    this->path = mkdtemp(name.data()) != nullptr ? name.data() : "";
  }
  ~Folder() {
    if (!this->path.empty() && std::getenv("RIG_KEEP") == nullptr) {
      for (const std::string& file : this->files) {
        unlink((this->path + "/" + file).c_str());
      }
      rmdir(this->path.c_str());
    }
  }
  std::string path;
  std::vector<std::string> files;
};

/// @returns ports that are free now on all of `ips`.
inline std::optional<Node::Ports> FindPorts(
    const std::vector<std::string>& ips) {
  for (int attempt = 0; attempt < 200; ++attempt) {
    const uint16_t base =
        static_cast<uint16_t>(20000 + (getpid() * 37 + attempt * 131) % 10000);
    bool good = true;
    for (const std::string& ip : ips) {
      for (int i = 0; i < 8 && good; ++i) {
        Address at{ip, static_cast<uint16_t>(base + i)};
        const int fd = ListenOn(at);
        good = fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
    if (good) {
      return Node::Ports{base, static_cast<uint16_t>(base + 1),
                         static_cast<uint16_t>(base + 2),
                         static_cast<uint16_t>(base + 3)};
    }
  }
  return std::nullopt;
}

/// The store, the nodes of some zones, and the configuration.
class Fleet {
 public:
  Fleet(int nodes, std::vector<std::string> zone_names)
      : zones(std::move(zone_names)), store({"127.0.0.1", 0}) {
    std::vector<std::string> ips;
    for (int i = 0; i < nodes; ++i) {
      ips.push_back("127.0.1." + std::to_string(i + 1));
    }
    const auto found = FindPorts(ips);
    if (!found) {
      return;
    }
    for (int i = 0; i < nodes; ++i) {
      const std::string& zone =
          this->zones[static_cast<size_t>(i) % this->zones.size()];
      this->nodes.push_back(std::make_unique<Node>(
          "edge-" + zone + "-" + std::to_string(i + 1), zone,
          ips[static_cast<size_t>(i)], *found, this->folder.path));
      this->nodes.back()->WriteSettings(this->store.address(), this->zones,
                                        true);
      this->folder.files.push_back(this->nodes.back()->name + ".conf");
      this->folder.files.push_back(this->nodes.back()->name + ".log");
    }
  }

  ~Fleet() {
    for (const auto& node : this->nodes) {
      node->Kill();
    }
    this->instances.clear();
    this->store.Stop();
  }

  void AddInstances(const std::string& service,
                    int count,
                    int slots,
                    int queue,
                    const Instance::Run& run) {
    for (int i = 0; i < count; ++i) {
      const std::string& zone =
          this->zones[static_cast<size_t>(i) % this->zones.size()];
      char id[48];
      std::snprintf(id, sizeof id, "i-%s%04d", service.c_str(), i);
      this->instances.push_back(std::make_unique<Instance>(
          this->store, id, service, zone, "127.0.0.1", slots, queue, run));
    }
  }

  /// @returns false if not all nodes became ready.
  bool Start(const std::string& program, double limit = 15) {
    for (const auto& node : this->nodes) {
      node->Start(program);
    }
    return this->AwaitReady(limit);
  }

  bool AwaitReady(double limit) {
    const double until = Now() + limit;
    for (const auto& node : this->nodes) {
      while (!node->IsReady()) {
        if (Now() > until) {
          return false;
        }
        Sleep(0.05);
      }
    }
    return true;
  }

  Folder folder;
  std::vector<std::string> zones;
  Store store;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Node>> nodes;
};

/// A client's attempt id.
inline std::string NewId() {
  static std::atomic<uint64_t> next{1};
  char text[32];
  std::snprintf(text, sizeof text, "%08x%08llx",
                static_cast<unsigned>(getpid()),
                static_cast<unsigned long long>(next++));
  return text;
}

}  // namespace rig

#endif  // REVIEW_RIG_H_
