#ifndef WIRE_BLOCKED_HOSTS_H_
#define WIRE_BLOCKED_HOSTS_H_

#include <set>
#include <string>
#include <utility>

#include "wire/peer_link.h"

namespace damasktack::detail {

// The hosts to which links are blocked, for partition tests only. Used on the
// transport's thread only.
class BlockedHosts {
 public:
  // `file` is empty if the list is not read from a file.
  explicit BlockedHosts(std::string file) : file_(std::move(file)) {}

  bool Has(const std::string& host) const { return hosts_.count(host) > 0; }
  void Set(std::set<std::string> hosts) { hosts_ = std::move(hosts); }
  // Reads the file again if the read interval has passed. Returns true if the
  // list has changed.
  bool RefreshFromFile(SteadyTime now);

 private:
  const std::string file_;
  std::set<std::string> hosts_;
  SteadyTime next_read_;
};

}  // namespace damasktack::detail

#endif  // WIRE_BLOCKED_HOSTS_H_
