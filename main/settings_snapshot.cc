#include "main/settings_snapshot.h"

#include <algorithm>
#include <array>

#include "main/settings_sections.h"

namespace damasktack {

namespace {

// Settings that a running host can apply. All others determine what it created
// at its start: sockets, threads, the balancers of its services.
constexpr std::array<std::string_view, 4> kReloadableSettings = {
    "fleet.seeds", "stop.lag", "stop.longest", "stop.grace_seconds"};

SettingsSnapshot SnapshotOf(Settings settings) {
  SettingsSnapshot snapshot("");
  detail::VisitSettings(snapshot, settings);
  return snapshot;
}

}  // namespace

std::string SettingsSnapshot::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void SettingsSnapshot::Record(std::string_view key, std::string text) {
  values_.push_back({PathOf(key), std::move(text)});
}

void SettingsSnapshot::Addresses(std::string_view key,
                                 const std::vector<SocketAddress>& value,
                                 std::string_view /*meaning*/) {
  std::string text;
  for (const SocketAddress& it : value) {
    text += ToString(it) + " ";
  }
  Record(key, std::move(text));
}

std::vector<std::string> SettingsSnapshot::ChangedKeys(
    const SettingsSnapshot& other) const {
  std::vector<std::string> changed;
  for (std::size_t n = 0; n < values_.size(); ++n) {
    if (values_[n].text != other.values_.at(n).text) {
      changed.push_back(values_[n].key);
    }
  }
  return changed;
}

SettingsChange CompareSettings(const Settings& running,
                               const Settings& new_settings) {
  SettingsChange change;
  for (const std::string& it :
       SnapshotOf(running).ChangedKeys(SnapshotOf(new_settings))) {
    const bool is_reloadable =
        std::ranges::find(kReloadableSettings, it) != kReloadableSettings.end();
    (is_reloadable ? change.applied : change.after_restart).push_back(it);
  }
  return change;
}

}  // namespace damasktack
