#include "client_ports.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace basilsill::soak {
namespace {

constexpr int kHexBase = 16;

// @returns the port of an address as /proc/net/tcp writes it.
uint16_t PortOf(const std::string& address) {
  const size_t colon = address.find(':');
  return static_cast<uint16_t>(
      std::stoul(address.substr(colon + 1), nullptr, kHexBase));
}

// @returns the targets of the descriptors of `pid`; those of sockets contain
// their inode.
std::set<std::string> DescriptorsOf(pid_t pid) {
  std::set<std::string> targets;
  std::error_code error;
  const std::filesystem::path path = "/proc/" + std::to_string(pid) + "/fd";
  for (std::filesystem::directory_iterator entry(path, error), end;
       !error && entry != end; entry.increment(error)) {
    std::error_code gone;
    targets.insert(std::filesystem::read_symlink(entry->path(), gone).string());
  }
  return targets;
}

}  // namespace

std::set<ConnectionPorts> ConnectionsOf(pid_t pid) {
  const std::set<std::string> descriptors = DescriptorsOf(pid);
  std::set<ConnectionPorts> connections;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);  // Headings.
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string skipped;
    std::string local;
    std::string remote;
    std::string inode;
    fields >> skipped >> local >> remote;
    // State, queues, timer, retransmissions, user and timeout.
    constexpr int skipped_fields = 6;
    for (int i = 0; i < skipped_fields; ++i) {
      fields >> skipped;
    }
    fields >> inode;
    if (descriptors.contains("socket:[" + inode + "]")) {
      connections.insert({PortOf(remote), PortOf(local)});
    }
  }
  return connections;
}

}  // namespace basilsill::soak
