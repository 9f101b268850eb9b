#ifndef MAIN_SETTINGS_READER_H_
#define MAIN_SETTINGS_READER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/json_reader.h"

namespace damasktack {

enum class SettingNeed : std::uint8_t { kRequired, kOptional };

// Visitor that reads settings from one JSON object. Keeps the first error,
// which Finish returns.
class SettingsReader {
 public:
  SettingsReader(const Json& json, std::string path);

  // A required ID.
  template <typename Id>
  void Name(std::string_view key, Id& out, std::string_view /*meaning*/) {
    std::string text;
    reader_.Read(key, text);
    out = Id(text);
  }
  // An optional text; an empty one counts as missing.
  void Text(std::string_view key, std::string& out, std::string_view meaning);
  // A text that must not appear in any message, not even when it is rejected.
  void Secret(std::string_view key, std::string& out, std::string_view meaning);
  void Address(std::string_view key,
               SocketAddress& out,
               SettingNeed need,
               std::string_view meaning);
  void Time(std::string_view key,
            Duration& out,
            Duration low,
            Duration high,
            std::string_view meaning);
  void Count(std::string_view key,
             std::int64_t& out,
             std::int64_t low,
             std::int64_t high,
             std::string_view unit,
             std::string_view meaning);
  void Number(std::string_view key,
              double& out,
              double low,
              double high,
              std::string_view unit,
              std::string_view meaning);
  void Flag(std::string_view key, bool& out, std::string_view meaning);
  // An optional object that maps names to names.
  template <typename Key, typename Id>
  void Names(std::string_view key,
             std::map<Key, Id>& out,
             std::string_view /*meaning*/) {
    for (auto& [name, value] : ReadNames(key)) {
      out.emplace(name, value);
    }
  }
  // An optional list of addresses.
  void Addresses(std::string_view key,
                 std::vector<SocketAddress>& out,
                 std::string_view meaning);

  // A nested object of settings, visited by `visit(visitor, options)`. If it is
  // missing and not required, all defaults stay. Returns whether it is present.
  template <typename Options, typename Visit>
  bool Section(std::string_view key,
               Options& options,
               SettingNeed need,
               Visit visit) {
    const Json* json = need == SettingNeed::kRequired
                           ? reader_.Object(key)
                           : reader_.OptionalObject(key);
    if (json == nullptr) {
      return false;
    }
    SettingsReader section(*json, reader_.PathOf(key));
    visit(section, options);
    Adopt(section);
    return true;
  }

  leaf::result<void> Finish();

 private:
  void Adopt(SettingsReader& section);
  std::map<std::string, std::string> ReadNames(std::string_view key);

  JsonReader reader_;
};

}  // namespace damasktack

#endif  // MAIN_SETTINGS_READER_H_
