#include "fleet/drained_zones.h"

namespace damasktack {

bool DrainedZones::Take(const ZoneDrain& drain, StoreRevision revision) {
  if (states_.size() >= kMaxZones && !states_.contains(drain.zone)) {
    return false;
  }
  DrainState& state = states_[drain.zone];
  if (revision < state.revision) {
    return false;
  }
  const bool has_changed = state.in_force != drain.in_force;
  state = {drain.in_force, revision};
  return has_changed;
}

bool DrainedZones::Retain(const std::set<ZoneId>& present,
                          StoreRevision current) {
  bool has_changed = false;
  for (auto& [zone, state] : states_) {
    if (state.in_force && state.revision <= current &&
        !present.contains(zone)) {
      state = {false, current};
      has_changed = true;
    }
  }
  return has_changed;
}

std::vector<ZoneId> DrainedZones::InForce() const {
  std::vector<ZoneId> zones;
  for (const auto& [zone, state] : states_) {
    if (state.in_force) {
      zones.push_back(zone);
    }
  }
  return zones;
}

void DrainedZones::AddChangesAfter(StoreRevision after,
                                   PublishedItems& out) const {
  for (const auto& [zone, state] : states_) {
    if (state.revision > after) {
      out.items.push_back({state.revision, ZoneDrain{zone, state.in_force}});
    }
  }
}

void DrainedZones::AddInForceUpTo(StoreRevision revision,
                                  PublishedItems& out) const {
  for (const auto& [zone, state] : states_) {
    if (state.in_force && state.revision <= revision) {
      out.items.push_back({state.revision, ZoneDrain{zone, true}});
    }
  }
}

}  // namespace damasktack
