#include "node_process.h"

#include <sys/prctl.h>
#include <sys/resource.h>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/env.hpp>
#include <boost/process/environment.hpp>
#include <boost/process/exe.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include "platform_text.h"

namespace basilsill::soak {
namespace {

namespace process = boost::process;

// Every node has its own address, so all nodes use the same ports. The ports
// are below the kernel's ephemeral range.
constexpr uint16_t kCallersPort = 8641;
constexpr uint16_t kReadyPort = 8640;
constexpr char kLinkPorts[] = "7620,7635";

// The process limit of file descriptors is below the number in the settings, as
// the platform reserves some of that number for files.
constexpr rlim_t kDescriptorLimit = 300;
constexpr uint32_t kConfiguredDescriptors = 500;
// Limit of the nodes with has_low_descriptor_limit.
constexpr rlim_t kLowDescriptorLimit = 200;

// Runs in the child before exec. The death signal kills the nodes when the soak
// exits for any reason.
void PrepareChild(rlim_t descriptors) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const rlimit limit{descriptors, descriptors};
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

struct FileCloser {
  void operator()(FILE* file) const { std::fclose(file); }
};

}  // namespace

// Failure: a restarted node inherits the open sockets of the soak, has no
// descriptors left and ends at once. So it inherits its standard streams only.
struct NodeProcess::Process {
  Process(const std::string& program,
          const std::string& settings,
          rlim_t descriptors,
          FILE* log)
      : running(process::exe = program,
                process::args = "--adapter",
                process::env[adapter::test::kSettingsVariable] = settings,
                process::std_in<process::null, process::std_out> log,
                process::std_err > log,
                process::limit_handles,
                process::extend::on_exec_setup(
                    [descriptors](auto&) { PrepareChild(descriptors); })) {}

  process::child running;
};

NodeProcess::NodeProcess(NodeOptions options) : options(std::move(options)) {
  adapter::test::SettingsText text;
  text.vm = this->options.name;
  text.address = this->options.address;
  text.store = ToString(this->options.store);
  text.callers_port = kCallersPort;
  text.ready_port = kReadyPort;
  text.link_ports = kLinkPorts;
  text.descriptors = kConfiguredDescriptors;
  text.repeat_slack = this->options.repeat_slack;
  text.drain = this->options.drain;
  text.apply = this->options.apply;
  text.revoke = this->options.revoke;
  std::ofstream settings(this->options.directory + "/" + this->options.name +
                         ".conf");
  settings << ToText(text);
  if (!settings.flush()) {
    throw std::runtime_error("can't write in " + this->options.directory);
  }
}

NodeProcess::~NodeProcess() {
  if (this->process != nullptr && this->process->running.valid()) {
    this->Signal(SIGKILL);
    std::error_code ignored;
    this->process->running.wait(ignored);
  }
}

void NodeProcess::Start() {
  const std::string base = this->options.directory + "/" + this->options.name;
  const std::unique_ptr<FILE, FileCloser> log(
      std::fopen((base + ".log").c_str(), "ae"));
  if (log == nullptr) {
    throw std::runtime_error("can't write " + base + ".log");
  }
  const rlim_t descriptors = this->options.has_low_descriptor_limit
                                 ? kLowDescriptorLimit
                                 : kDescriptorLimit;
  this->process = std::make_unique<Process>(
      this->options.program, base + ".conf", descriptors, log.get());
}

void NodeProcess::Signal(int number) {
  if (this->process != nullptr && this->IsRunning()) {
    ::kill(this->process->running.id(), number);
  }
}

bool NodeProcess::IsRunning() {
  std::error_code ignored;
  return this->process != nullptr && this->process->running.running(ignored);
}

int NodeProcess::pid() {
  return this->IsRunning() ? this->process->running.id() : 0;
}

Endpoint NodeProcess::callers() const {
  return {this->options.address, kCallersPort};
}

Endpoint NodeProcess::readiness() const {
  return {this->options.address, kReadyPort};
}

}  // namespace basilsill::soak
