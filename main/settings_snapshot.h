#ifndef MAIN_SETTINGS_SNAPSHOT_H_
#define MAIN_SETTINGS_SNAPSHOT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "main/settings.h"
#include "main/settings_reader.h"

namespace damasktack {

// Visitor that records the values of settings, so that two sets can be
// compared. Values may be secrets: they are compared and never shown.
class SettingsSnapshot {
 public:
  explicit SettingsSnapshot(std::string path) : path_(std::move(path)) {}

  template <typename Id>
  void Name(std::string_view key,
            const Id& value,
            std::string_view /*meaning*/) {
    Record(key, value.text());
  }
  void Text(std::string_view key,
            const std::string& value,
            std::string_view /*meaning*/) {
    Record(key, value);
  }
  void Secret(std::string_view key,
              const std::string& value,
              std::string_view /*meaning*/) {
    Record(key, value);
  }
  void Address(std::string_view key,
               const SocketAddress& value,
               SettingNeed /*need*/,
               std::string_view /*meaning*/) {
    Record(key, ToString(value));
  }
  void Time(std::string_view key,
            Duration value,
            Duration /*low*/,
            Duration /*high*/,
            std::string_view /*meaning*/) {
    Record(key, FormatDuration(value));
  }
  void Count(std::string_view key,
             std::int64_t value,
             std::int64_t /*low*/,
             std::int64_t /*high*/,
             std::string_view /*unit*/,
             std::string_view /*meaning*/) {
    Record(key, std::to_string(value));
  }
  void Number(std::string_view key,
              double value,
              double /*low*/,
              double /*high*/,
              std::string_view /*unit*/,
              std::string_view /*meaning*/) {
    Record(key, std::to_string(value));
  }
  void Flag(std::string_view key, bool value, std::string_view /*meaning*/) {
    Record(key, value ? "true" : "false");
  }
  template <typename Key, typename Id>
  void Names(std::string_view key,
             const std::map<Key, Id>& value,
             std::string_view /*meaning*/) {
    std::string text;
    for (const auto& [name, id] : value) {
      text += name.text() + "=" + id.text() + " ";
    }
    Record(key, std::move(text));
  }
  void Addresses(std::string_view key,
                 const std::vector<SocketAddress>& value,
                 std::string_view meaning);

  template <typename Options, typename Visit>
  bool Section(std::string_view key,
               Options& options,
               SettingNeed /*need*/,
               Visit visit) {
    SettingsSnapshot section(PathOf(key));
    visit(section, options);
    values_.insert(values_.end(), section.values_.begin(),
                   section.values_.end());
    return true;
  }

  // Returns the keys of the settings that differ; both snapshots must come from
  // the same visit function.
  std::vector<std::string> ChangedKeys(const SettingsSnapshot& other) const;

 private:
  struct Value {
    std::string key;
    std::string text;
  };

  std::string PathOf(std::string_view key) const;
  void Record(std::string_view key, std::string text);

  std::string path_;
  std::vector<Value> values_;
};

// Effect of changed settings on a running host.
struct SettingsChange {
  // Settings that were applied at once.
  std::vector<std::string> applied;
  // Settings that need a restart; until then the values of the start stay in
  // force.
  std::vector<std::string> after_restart;
};

// Returns the settings that differ, grouped by whether a running host can apply
// them.
SettingsChange CompareSettings(const Settings& running,
                               const Settings& new_settings);

}  // namespace damasktack

#endif  // MAIN_SETTINGS_SNAPSHOT_H_
