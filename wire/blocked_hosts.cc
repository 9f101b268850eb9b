#include "wire/blocked_hosts.h"

#include <fstream>

namespace damasktack::detail {

namespace {

constexpr std::chrono::milliseconds kReadInterval{100};

}  // namespace

bool BlockedHosts::RefreshFromFile(SteadyTime now) {
  if (file_.empty() || now < next_read_) {
    return false;
  }
  next_read_ = now + kReadInterval;
  std::ifstream file(file_);
  std::set<std::string> hosts;
  for (std::string host; std::getline(file, host);) {
    hosts.insert(host);
  }
  if (hosts == hosts_) {
    return false;
  }
  hosts_ = std::move(hosts);
  return true;
}

}  // namespace damasktack::detail
