#include "main/settings_reader.h"

#include <utility>

namespace damasktack {

namespace {

// Removes the value from an error about an unknown key, since the value of a
// misspelled key may be a secret.
Error WithoutValue(Error error) {
  if (error.kind == ErrorKind::kUnknownKey) {
    error.found = "an unknown key";
  }
  return error;
}

}  // namespace

SettingsReader::SettingsReader(const Json& json, std::string path)
    : reader_(json, std::move(path)) {}

void SettingsReader::Text(std::string_view key,
                          std::string& out,
                          std::string_view /*meaning*/) {
  reader_.ReadOptional(key, out);
}

void SettingsReader::Secret(std::string_view key,
                            std::string& out,
                            std::string_view /*meaning*/) {
  const Json* value = reader_.OptionalValue(key);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    reader_.Refuse(ErrorKind::kWrongType, key, "a value that is not a text",
                   "write a text in quotes");
    return;
  }
  out = value->get<std::string>();
}

void SettingsReader::Address(std::string_view key,
                             SocketAddress& out,
                             SettingNeed need,
                             std::string_view /*meaning*/) {
  if (need == SettingNeed::kRequired) {
    reader_.Read(key, out);
  } else {
    reader_.ReadOptional(key, out);
  }
}

void SettingsReader::Time(std::string_view key,
                          Duration& out,
                          Duration low,
                          Duration high,
                          std::string_view /*meaning*/) {
  reader_.ReadOptional(key, out, low, high);
}

void SettingsReader::Count(std::string_view key,
                           std::int64_t& out,
                           std::int64_t low,
                           std::int64_t high,
                           std::string_view /*unit*/,
                           std::string_view /*meaning*/) {
  reader_.ReadOptional(key, out, low, high);
}

void SettingsReader::Number(std::string_view key,
                            double& out,
                            double low,
                            double high,
                            std::string_view /*unit*/,
                            std::string_view /*meaning*/) {
  reader_.ReadOptional(key, out, low, high);
}

void SettingsReader::Flag(std::string_view key,
                          bool& out,
                          std::string_view /*meaning*/) {
  reader_.ReadOptional(key, out);
}

void SettingsReader::Addresses(std::string_view key,
                               std::vector<SocketAddress>& out,
                               std::string_view /*meaning*/) {
  std::vector<std::string> texts;
  reader_.ReadOptional(key, texts);
  for (const std::string& it : texts) {
    Try(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(address, ParseSocketAddress(it, key));
          out.push_back(std::move(address));
          return {};
        },
        [&](const Error& error) {
          reader_.Refuse(error.kind, key, error.found, error.remedy);
        });
  }
}

std::map<std::string, std::string> SettingsReader::ReadNames(
    std::string_view key) {
  std::map<std::string, std::string> names;
  const Json* object = reader_.OptionalObject(key);
  if (object == nullptr) {
    return names;
  }
  for (const auto& [name, value] : object->items()) {
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
      reader_.Refuse(ErrorKind::kWrongType, key,
                     "no name under \"" + name + "\"",
                     "write names in quotes, as in {\"zone\": \"region\"}");
      return {};
    }
    names.emplace(name, value.get<std::string>());
  }
  return names;
}

void SettingsReader::Adopt(SettingsReader& section) {
  Try([&] { return section.reader_.Finish(); },
      [&](const Error& error) { reader_.Adopt(WithoutValue(error)); });
}

leaf::result<void> SettingsReader::Finish() {
  const std::optional<Error> error =
      CaptureError([&] { return reader_.Finish(); });
  if (error) {
    return leaf::new_error(WithoutValue(*error));
  }
  return {};
}

}  // namespace damasktack
