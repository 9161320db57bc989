#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

namespace review {
namespace {

// Ports of a node: callers, readiness, control, and a range between nodes.
constexpr uint16_t kOwnPorts = 3;
constexpr uint16_t kInternalPorts = 15;
constexpr Milliseconds kConnectTimeout{1000};
constexpr Milliseconds kPoll{20};
// Beyond its deadline a client waits no longer.
constexpr Milliseconds kExtraWait{100};

}  // namespace

Fleet::Fleet(FleetOptions given, Record& record)
    : options(std::move(given)), record(record) {
  this->front = FindFreePorts("127.10.0.1", kOwnPorts + kInternalPorts);
  for (size_t i = 0; i < this->options.zones.size(); ++i) {
    this->addresses.push_back("127.10.0." + std::to_string(i + 1));
  }
  this->processes.resize(this->options.zones.size(), -1);
}

Fleet::~Fleet() {
  this->KillAll();
}

std::string Fleet::Settings(size_t node) const {
  const std::string& address = this->addresses[node];
  const auto at = [&](int offset) {
    return address + ":" + std::to_string(this->front + offset);
  };
  const std::string& zone = this->options.zones[node];
  std::string zones;
  for (const std::string& name : this->options.zones) {
    if (zones.find("." + name + "=") == std::string::npos) {
      zones += "\nnetwork.zones." + name + "=sofia";
    }
  }
  return "self.node=edge-" + zone + "-" + std::to_string(node + 1) +
         "\nself.role=node\nself.machine_class=edge\nself.serves=edge"
         "\nself.ip=" +
         address + "\nself.zone=" + zone +
         "\nself.region=sofia\nself.loss_counted=false\nself.bootstrap=true"
         "\nself.limits.cpu_share=0.2\nself.limits.cores=1"
         "\nself.limits.memory_mb=260\nself.limits.max_fds=4100"
         "\nself.limits.link_mbps=1000.0\nself.limits.disk_mb=0"
         "\nnetwork.listen.front=" +
         at(0) + "\nnetwork.listen.ready=" + at(1) +
         "\nnetwork.listen.control=" + at(2) +
         "\nnetwork.internal_ports=" + std::to_string(this->front + kOwnPorts) +
         "," + std::to_string(this->front + kOwnPorts + kInternalPorts - 1) +
         "\nnetwork.seeds=" + this->addresses[0] + ":" +
         std::to_string(this->front + 2) + zones +
         "\nplatform.discovery=platform\nplatform.entry=vip"
         "\nplatform.heartbeat=1500ms\nplatform.platform.address=" +
         this->options.store_address + ":" +
         std::to_string(this->options.store_port) +
         "\nplatform.platform.form=log\nplatform.platform.writes_per_s=400"
         "\nplatform.platform.reads_per_s=2000\nplatform.platform.parts=8"
         "\nplatform.platform.append=4ms"
         "\nplatform.platform.partition_mb_s=20.0"
         "\nplatform.platform.read_mb_s=80.0"
         "\nplatform.platform.record_bytes=262144"
         "\nplatform.platform.call_bytes=2097152\nplatform.platform.keep=300s"
         "\nplatform.platform.part_mb=200\nplatform.platform.ttl_min=1000ms"
         "\nterms.contracts=base,drain,config,cost,retry,recover,health,"
         "platform\nterms.fault_tolerance.machines=2"
         "\nterms.fault_tolerance.zones=0\nterms.fault_tolerance.regions=0"
         "\nterms.bounds.seed_lag=3s\nterms.bounds.reuse_after=2s"
         "\nterms.bounds.stability_window=3000ms\nterms.bounds.ack=4000ms"
         "\nterms.bounds.catch_up=4s\nterms.bounds.drain=2000ms"
         "\nterms.bounds.grace=6s\nterms.bounds.loss_slack=200ms"
         "\nterms.bounds.config_apply=2000ms"
         "\nterms.bounds.rollback_slack=250ms"
         "\nterms.bounds.max_stretch=5000ms\nterms.bounds.budget_ratio=0.2"
         "\nterms.bounds.budget_window=10s\nterms.bounds.budget_slack=58"
         "\nterms.bounds.recover=15s\nterms.bounds.probes_per_s=60\n";
}

void Fleet::StartNode(size_t node) {
  const std::string base =
      this->options.directory + "/node-" + std::to_string(node + 1);
  std::ofstream(base + ".conf") << this->Settings(node);
  const std::string variable = "BASILSILL_NODE_FILE=" + base + ".conf";
  std::vector<char*> words;
  for (std::string& word : this->options.command) {
    words.push_back(word.data());
  }
  words.push_back(nullptr);
  const char* path = std::getenv("PATH");
  std::string path_variable = "PATH=" + std::string(path ? path : "/usr/bin");
  std::string file_variable = variable;
  char* environment[] = {path_variable.data(), file_variable.data(), nullptr};
  const std::string log = base + ".log";
  const pid_t process = fork();
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execve(words[0], words.data(), environment);
    _exit(127);
  }
  this->processes[node] = process;
  this->record.Note("node " + std::to_string(node + 1) + " starts");
}

bool Fleet::IsReady(size_t node) const {
  const int descriptor =
      ConnectTo(this->addresses[node], static_cast<uint16_t>(this->front + 1),
                kConnectTimeout);
  if (descriptor < 0) {
    return false;
  }
  Connection connection(descriptor);
  Message answer;
  return connection.Write(
             "GET /basilsill/ready HTTP/1.1\r\nHost: ready\r\n"
             "Connection: close\r\n\r\n") &&
         ReadMessage(connection, answer, Clock::now() + kConnectTimeout) ==
             ReadResult::kWhole &&
         answer.start_line.find(" 200") != std::string::npos;
}

bool Fleet::Start(Milliseconds limit) {
  for (size_t i = 0; i < this->options.zones.size(); ++i) {
    this->StartNode(i);
  }
  const auto until = Clock::now() + limit;
  for (size_t i = 0; i < this->options.zones.size();) {
    if (this->IsReady(i)) {
      this->record.Note("node " + std::to_string(i + 1) + " is ready");
      ++i;
    } else if (Clock::now() > until) {
      return false;
    } else {
      std::this_thread::sleep_for(kPoll);
    }
  }
  return true;
}

void Fleet::Signal(size_t node, int number) {
  this->record.Note("node " + std::to_string(node + 1) + " gets signal " +
                    std::to_string(number));
  kill(this->processes[node], number);
}

bool Fleet::HasEnded(size_t node) {
  int status = 0;
  if (this->processes[node] < 0) {
    return true;
  }
  if (waitpid(this->processes[node], &status, WNOHANG) == 0) {
    return false;
  }
  this->processes[node] = -1;
  this->record.Note("node " + std::to_string(node + 1) + " has ended, " +
                    (WIFEXITED(status)
                         ? "exit " + std::to_string(WEXITSTATUS(status))
                         : "signal " + std::to_string(WTERMSIG(status))));
  return true;
}

void Fleet::KillAll() {
  for (pid_t& process : this->processes) {
    if (process > 0) {
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
      process = -1;
    }
  }
}

unsigned SendRequest(const Fleet& fleet,
                     size_t node,
                     const RequestText& request,
                     Record& record) {
  const int descriptor =
      ConnectTo(fleet.address(node), fleet.callers_port(), kConnectTimeout);
  if (descriptor < 0) {
    record.Note("not connected " + request.id);
    return 0;
  }
  Connection connection(descriptor);
  std::string text =
      request.method + " " + request.path +
      " HTTP/1.1\r\nHost: " + request.host + "\r\nX-Attempt-Id: " + request.id +
      "\r\nX-Deadline-Ms: " + std::to_string(request.deadline.count()) + "\r\n";
  if (!request.body.empty()) {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n" + request.body;
  record.OnSent(request.id, request.path);
  Message answer;
  if (!connection.Write(text)) {
    record.OnEnded(request.id, 0, "the connection was closed unread");
    return 0;
  }
  const auto until = Clock::now() + request.deadline + kExtraWait;
  const ReadResult read = ReadMessage(connection, answer, until);
  if (read != ReadResult::kWhole) {
    const bool is_late = Clock::now() >= until;
    record.OnEnded(request.id, 0,
                   is_late ? "the client's deadline has passed"
                           : "the connection ended without an answer");
    return 0;
  }
  const auto status = static_cast<unsigned>(
      std::strtoul(answer.start_line.substr(9, 3).c_str(), nullptr, 10));
  record.OnEnded(
      request.id, status,
      answer.Header("Basilsill-Reason") +
          (answer.Header("X-Response-Seal").empty() ? " unsealed" : " sealed"));
  return status;
}

}  // namespace review
