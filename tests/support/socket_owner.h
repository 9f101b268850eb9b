#ifndef TESTS_SUPPORT_SOCKET_OWNER_H_
#define TESTS_SUPPORT_SOCKET_OWNER_H_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace damasktack {

// Returns the inode of the TCP socket on this machine that is connected from
// `local_port` to `remote_port`, or "" if there is none.
inline std::string FindSocketInode(std::uint16_t local_port,
                                   std::uint16_t remote_port) {
  const auto port_of = [](const std::string& address) {
    constexpr int kHexadecimal = 16;
    return std::stoi(address.substr(address.find(':') + 1), nullptr,
                     kHexadecimal);
  };
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    std::istringstream row(line);
    std::string number, local, remote, state, queues, timer, retransmits, user,
        timeout, inode;
    row >> number >> local >> remote >> state >> queues >> timer >>
        retransmits >> user >> timeout >> inode;
    if (port_of(local) == local_port && port_of(remote) == remote_port) {
      return inode;
    }
  }
  return "";
}

// Returns whether a process has the socket open.
inline bool OwnsSocket(pid_t process, const std::string& inode) {
  const std::string name = "socket:[" + inode + "]";
  std::error_code ec;
  const std::filesystem::directory_iterator open_files(
      "/proc/" + std::to_string(process) + "/fd", ec);
  for (const auto& it : open_files) {
    if (std::filesystem::read_symlink(it.path(), ec) == name) {
      return true;
    }
  }
  return false;
}

}  // namespace damasktack

#endif  // TESTS_SUPPORT_SOCKET_OWNER_H_
