#ifndef MAIN_SETTINGS_DESCRIBER_H_
#define MAIN_SETTINGS_DESCRIBER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/json_reader.h"
#include "main/settings_reader.h"

namespace damasktack {

// One setting as shown on the reference page, as texts.
struct SettingDescription {
  // Key with its section, as in "proxy.threads".
  std::string key;
  std::string unit;
  // "required" if there is no default.
  std::string default_value;
  std::string range;
  std::string meaning;
};

// Visitor that describes settings; has the same interface as SettingsReader.
// The defaults are the values in the options passed.
class SettingsDescriber {
 public:
  explicit SettingsDescriber(std::string path) : path_(std::move(path)) {}

  template <typename Id>
  void Name(std::string_view key,
            const Id& /*value*/,
            std::string_view meaning) {
    DescribeName(key, meaning);
  }
  void Text(std::string_view key,
            const std::string& value,
            std::string_view meaning);
  void Secret(std::string_view key,
              const std::string& value,
              std::string_view meaning);
  void Address(std::string_view key,
               const SocketAddress& value,
               SettingNeed need,
               std::string_view meaning);
  void Time(std::string_view key,
            Duration value,
            Duration low,
            Duration high,
            std::string_view meaning);
  void Count(std::string_view key,
             std::int64_t value,
             std::int64_t low,
             std::int64_t high,
             std::string_view unit,
             std::string_view meaning);
  void Number(std::string_view key,
              double value,
              double low,
              double high,
              std::string_view unit,
              std::string_view meaning);
  void Flag(std::string_view key, bool value, std::string_view meaning);
  template <typename Key, typename Id>
  void Names(std::string_view key,
             const std::map<Key, Id>& /*value*/,
             std::string_view meaning) {
    DescribeNames(key, meaning);
  }
  void Addresses(std::string_view key,
                 const std::vector<SocketAddress>& value,
                 std::string_view meaning);

  template <typename Options, typename Visit>
  bool Section(std::string_view key,
               Options& options,
               SettingNeed /*need*/,
               Visit visit) {
    SettingsDescriber section(PathOf(key));
    visit(section, options);
    descriptions_.insert(descriptions_.end(), section.descriptions_.begin(),
                         section.descriptions_.end());
    return true;
  }

  const std::vector<SettingDescription>& descriptions() const {
    return descriptions_;
  }

 private:
  void DescribeName(std::string_view key, std::string_view meaning);
  void DescribeNames(std::string_view key, std::string_view meaning);
  std::string PathOf(std::string_view key) const;

  std::string path_;
  std::vector<SettingDescription> descriptions_;
};

}  // namespace damasktack

#endif  // MAIN_SETTINGS_DESCRIBER_H_
