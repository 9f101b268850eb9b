#ifndef MAIN_SETTINGS_SNAPSHOT_H_
#define MAIN_SETTINGS_SNAPSHOT_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "main/settings.h"
#include "main/settings_reader.h"

namespace damasktack {

// Visits settings to note their values, so that two of them can be compared.
// Values may be secrets: they are compared and never shown.
class SettingsSnapshot {
 public:
  explicit SettingsSnapshot(std::string path) : path_(std::move(path)) {}

  template <typename Id>
  void Name(std::string_view key,
            const Id& value,
            std::string_view /*meaning*/) {
    Note(key, value.text());
  }
  void Text(std::string_view key,
            const std::string& value,
            std::string_view /*meaning*/) {
    Note(key, value);
  }
  void Secret(std::string_view key,
              const std::string& value,
              std::string_view /*meaning*/) {
    Note(key, value);
  }
  void Address(std::string_view key,
               const SocketAddress& value,
               SettingNeed /*need*/,
               std::string_view /*meaning*/) {
    Note(key, ToString(value));
  }
  void Time(std::string_view key,
            Duration value,
            Duration /*low*/,
            Duration /*high*/,
            std::string_view /*meaning*/) {
    Note(key, FormatDuration(value));
  }
  void Count(std::string_view key,
             std::int64_t value,
             std::int64_t /*low*/,
             std::int64_t /*high*/,
             std::string_view /*unit*/,
             std::string_view /*meaning*/) {
    Note(key, std::to_string(value));
  }
  void Number(std::string_view key,
              double value,
              double /*low*/,
              double /*high*/,
              std::string_view /*unit*/,
              std::string_view /*meaning*/) {
    Note(key, std::to_string(value));
  }
  void Flag(std::string_view key, bool value, std::string_view /*meaning*/) {
    Note(key, value ? "true" : "false");
  }
  template <typename Key, typename Id>
  void Names(std::string_view key,
             const std::map<Key, Id>& value,
             std::string_view /*meaning*/) {
    std::string text;
    for (const auto& [name, id] : value) {
      text += name.text() + "=" + id.text() + " ";
    }
    Note(key, std::move(text));
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

  // Names of the settings that differ; both must come from the same visit.
  std::vector<std::string> ChangedKeys(const SettingsSnapshot& other) const;

 private:
  struct Value {
    std::string key;
    std::string text;
  };

  std::string PathOf(std::string_view key) const;
  void Note(std::string_view key, std::string text);

  std::string path_;
  std::vector<Value> values_;
};

// What a running host does with changed settings.
struct SettingsChange {
  // In force at once.
  std::vector<std::string> taken;
  // In force after a restart; until then what the host started with stays.
  std::vector<std::string> after_restart;
};

// Which settings differ, parted by whether a running host takes them in.
SettingsChange CompareSettings(const Settings& running, const Settings& wanted);

}  // namespace damasktack

#endif  // MAIN_SETTINGS_SNAPSHOT_H_
