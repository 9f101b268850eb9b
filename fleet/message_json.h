#ifndef FLEET_MESSAGE_JSON_H_
#define FLEET_MESSAGE_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/json_reader.h"

namespace damasktack::detail {

// Maximum number of items of a list inside one message.
inline constexpr std::size_t kMaxMessageListItems = 4096;

// Maximum duration in a message, in microseconds: eleven days.
inline constexpr std::int64_t kMaxMessageTimeUs = 1'000'000'000'000;

inline std::int64_t ToMicroseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

inline void ReadTime(JsonReader& reader, std::string_view key, Duration& out) {
  std::int64_t us = 0;
  reader.Read(key, us, 0, kMaxMessageTimeUs);
  out = std::chrono::microseconds(us);
}

template <typename Item>
Json ListToJson(const std::vector<Item>& items) {
  Json json = Json::array();
  for (const Item& it : items) {
    json.push_back(it.ToJson());
  }
  return json;
}

// Reads a list of objects whose type has a Parse function.
template <typename Item>
void ReadList(JsonReader& reader,
              std::string_view key,
              std::vector<Item>& out) {
  const Json* json = reader.Array(key);
  if (json == nullptr) {
    return;
  }
  if (json->size() > kMaxMessageListItems) {
    reader.Refuse(ErrorKind::kTooLarge, key,
                  std::to_string(json->size()) + " members",
                  "send at most " + std::to_string(kMaxMessageListItems));
    return;
  }
  const std::string path = reader.PathOf(key);
  for (const Json& it : *json) {
    Try(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(item, Item::Parse(it, path));
          out.push_back(std::move(item));
          return {};
        },
        [&](const Error& error) { reader.Adopt(error); });
  }
}

}  // namespace damasktack::detail

#endif  // FLEET_MESSAGE_JSON_H_
