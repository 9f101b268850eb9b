#include "fleet/relay_directory.h"

namespace damasktack {

void RelayDirectory::SetSelf(RelayHost self) {
  {
    const std::lock_guard lock(mutex_);
    self_ = std::move(self);
  }
  Notify();
}

std::optional<RelayHost> RelayDirectory::self() const {
  const std::lock_guard lock(mutex_);
  return self_;
}

void RelayDirectory::SetReachable(const ServiceId& service, bool is_reachable) {
  {
    const std::lock_guard lock(mutex_);
    const bool is_changed = is_reachable ? unreachable_.erase(service) > 0
                                         : unreachable_.insert(service).second;
    if (!is_changed) {
      return;
    }
  }
  Notify();
}

void RelayDirectory::Forget(const ServiceId& service) {
  const std::lock_guard lock(mutex_);
  has_update_ = unreachable_.erase(service) > 0 || has_update_;
}

void RelayDirectory::RequestPeers() {
  Notify();
}

std::vector<RelayHost> RelayDirectory::peers() const {
  const std::lock_guard lock(mutex_);
  return peers_;
}

void RelayDirectory::SetPeers(std::vector<RelayHost> peers) {
  const std::lock_guard lock(mutex_);
  std::erase_if(peers, [&](const RelayHost& it) {
    return self_ && it.host == self_->host;
  });
  peers_ = std::move(peers);
}

std::optional<RelayOffers::Offer> RelayDirectory::Offer() const {
  const std::lock_guard lock(mutex_);
  if (!self_) {
    return std::nullopt;
  }
  return RelayOffers::Offer{
      *self_, {unreachable_.begin(), unreachable_.end()}, false};
}

bool RelayDirectory::TakeUpdate() {
  const std::lock_guard lock(mutex_);
  return std::exchange(has_update_, false);
}

void RelayDirectory::SetOnUpdates(std::function<void()> on_updates) {
  const std::lock_guard lock(mutex_);
  on_updates_ = std::move(on_updates);
}

void RelayDirectory::Notify() {
  std::function<void()> on_updates;
  {
    const std::lock_guard lock(mutex_);
    has_update_ = true;
    on_updates = on_updates_;
  }
  if (on_updates) {
    on_updates();
  }
}

}  // namespace damasktack
