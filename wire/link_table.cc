#include "wire/link_table.h"

#include <algorithm>

namespace damasktack::detail {

PeerLinkPtr LinkTable::Find(const std::string& host) const {
  const std::lock_guard lock(mutex_);
  const auto it = links_.find(host);
  return it == links_.end() ? nullptr : it->second;
}

bool LinkTable::HasDialed(const PeerAddress& address) const {
  const std::lock_guard lock(mutex_);
  return std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
    return entry.second->target.ip == address.ip &&
           entry.second->target.port == address.port;
  });
}

std::vector<PeerLinkPtr> LinkTable::All() const {
  const std::lock_guard lock(mutex_);
  std::vector<PeerLinkPtr> all;
  for (const auto& entry : links_) {
    all.push_back(entry.second);
  }
  return all;
}

void LinkTable::Put(const PeerLinkPtr& link) {
  const std::lock_guard lock(mutex_);
  links_[link->peer.host] = link;
}

bool LinkTable::Remove(const PeerLinkPtr& link) {
  const std::lock_guard lock(mutex_);
  const auto it = links_.find(link->peer.host);
  if (it == links_.end() || it->second != link) {
    return false;
  }
  links_.erase(it);
  return true;
}

}  // namespace damasktack::detail
