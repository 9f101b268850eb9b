#include "fleet/drained_zones.h"

namespace damasktack {

bool DrainedZones::Take(const ZoneDrain& drain, Revision revision) {
  if (words_.size() >= kMaxZones && !words_.contains(drain.zone)) {
    return false;
  }
  Word& word = words_[drain.zone];
  if (revision < word.revision) {
    return false;
  }
  const bool has_changed = word.in_force != drain.in_force;
  word = {drain.in_force, revision};
  return has_changed;
}

bool DrainedZones::Retain(const std::set<ZoneId>& present, Revision current) {
  bool has_changed = false;
  for (auto& [zone, word] : words_) {
    if (word.in_force && word.revision <= current && !present.contains(zone)) {
      word = {false, current};
      has_changed = true;
    }
  }
  return has_changed;
}

std::vector<ZoneId> DrainedZones::InForce() const {
  std::vector<ZoneId> zones;
  for (const auto& [zone, word] : words_) {
    if (word.in_force) {
      zones.push_back(zone);
    }
  }
  return zones;
}

void DrainedZones::AddChangesAfter(Revision after, PublishedItems& out) const {
  for (const auto& [zone, word] : words_) {
    if (word.revision > after) {
      out.items.push_back({word.revision, ZoneDrain{zone, word.in_force}});
    }
  }
}

void DrainedZones::AddInForceUpTo(Revision revision,
                                  PublishedItems& out) const {
  for (const auto& [zone, word] : words_) {
    if (word.in_force && word.revision <= revision) {
      out.items.push_back({word.revision, ZoneDrain{zone, true}});
    }
  }
}

}  // namespace damasktack
