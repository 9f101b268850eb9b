#include "core/json_reader.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <utility>

namespace damasktack {

namespace {

struct Unit {
  std::string_view suffix;
  Duration length;
};

// Longer suffixes that end in "s" come first, so that "ms" is not parsed as
// "s".
constexpr std::array kUnits = {
    Unit{"min", std::chrono::minutes(1)},
    Unit{"us", std::chrono::microseconds(1)},
    Unit{"ms", std::chrono::milliseconds(1)},
    Unit{"h", std::chrono::hours(1)},
    Unit{"s", std::chrono::seconds(1)},
};

constexpr std::string_view kDurationRemedy =
    "write a whole number with its unit: us, ms, s, min or h, as in \"250ms\"";
constexpr std::string_view kAddressRemedy =
    "write an IP address and a port, as in \"127.0.0.1:8080\" or "
    "\"[::1]:8080\"; host names are not resolved";

std::string FormatForError(const Json& json) {
  constexpr std::size_t kMaxLength = 60;
  std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxLength) {
    text.resize(kMaxLength);
    text += "...";
  }
  return text;
}

template <typename Number>
std::string RangeRemedy(Number low, Number high) {
  return "write a value from " + std::to_string(low) + " to " +
         std::to_string(high);
}

}  // namespace

leaf::result<Json> ParseJson(std::string_view text, std::string_view where) {
  std::string message;
  try {
    return Json::parse(text, nullptr, true, true);
  } catch (const Json::parse_error& parse_error) {
    message = parse_error.what();
  }
  return Fail(ErrorKind::kInvalidJson, std::string(where), message,
              "correct the JSON at the given position; comments are allowed, "
              "trailing commas are not");
}

leaf::result<Duration> ParseDuration(std::string_view text,
                                     std::string_view where) {
  const auto unit = std::ranges::find_if(
      kUnits, [&](const Unit& it) { return text.ends_with(it.suffix); });
  if (unit == kUnits.end()) {
    return Fail(ErrorKind::kWrongUnit, std::string(where), std::string(text),
                std::string(kDurationRemedy));
  }
  const std::string_view digits =
      text.substr(0, text.size() - unit->suffix.size());
  std::int64_t count = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), count);
  const bool is_valid = parsed.ec == std::errc() &&
                        parsed.ptr == digits.data() + digits.size() &&
                        !digits.empty();
  if (!is_valid || count < 0 || count > Duration::max() / unit->length) {
    return Fail(ErrorKind::kWrongUnit, std::string(where), std::string(text),
                std::string(kDurationRemedy));
  }
  return count * unit->length;
}

std::string FormatDuration(Duration duration) {
  for (std::string_view suffix : {"h", "min", "s", "ms", "us"}) {
    const auto unit = std::ranges::find(kUnits, suffix, &Unit::suffix);
    if (duration % unit->length == Duration::zero()) {
      return std::to_string(duration / unit->length) + std::string(suffix);
    }
  }
  return std::to_string(duration.count()) + "ns";
}

leaf::result<SocketAddress> ParseSocketAddress(std::string_view text,
                                               std::string_view where) {
  const auto refuse = [&] {
    return Fail(ErrorKind::kInvalidAddress, std::string(where),
                std::string(text), std::string(kAddressRemedy));
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return refuse();
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (ip.starts_with('[') && ip.ends_with(']')) {
    ip = ip.substr(1, ip.size() - 2);
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(std::string(ip), ec);
  SocketAddress address{std::string(ip), 0};
  const auto parsed =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (ec || parsed.ec != std::errc() ||
      parsed.ptr != port.data() + port.size()) {
    return refuse();
  }
  return address;
}

std::string ToString(const SocketAddress& address) {
  const bool is_ipv6 = address.ip.find(':') != std::string::npos;
  const std::string ip = is_ipv6 ? "[" + address.ip + "]" : address.ip;
  return ip + ":" + std::to_string(address.port);
}

JsonReader::JsonReader(const Json& json, std::string path)
    : json_(json), path_(std::move(path)) {
  if (!json_.is_object()) {
    failed_ = true;
    error_ = Error{ErrorKind::kWrongType, path_, FormatForError(json_),
                   "write an object in braces"};
  }
}

std::string JsonReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

bool JsonReader::Has(std::string_view key) const {
  return json_.is_object() && json_.contains(key);
}

void JsonReader::Refuse(ErrorKind kind,
                        std::string_view key,
                        std::string found,
                        std::string remedy) {
  if (failed_) {
    return;
  }
  failed_ = true;
  error_ = Error{kind, PathOf(key), std::move(found), std::move(remedy)};
}

void JsonReader::Adopt(const Error& error) {
  if (failed_) {
    return;
  }
  failed_ = true;
  error_ = error;
}

const Json* JsonReader::Find(std::string_view key, bool required) {
  read_keys_.emplace_back(key);
  if (failed_) {
    return nullptr;
  }
  const auto it = json_.find(key);
  if (it != json_.end()) {
    return &*it;
  }
  if (required) {
    Refuse(ErrorKind::kMissingKey, key, "nothing",
           "add the key \"" + std::string(key) + "\"");
  }
  return nullptr;
}

const Json* JsonReader::FindTyped(std::string_view key,
                                  bool required,
                                  Json::value_t type,
                                  std::string_view expected) {
  const Json* value = Find(key, required);
  if (value == nullptr || value->type() == type) {
    return value;
  }
  Refuse(ErrorKind::kWrongType, key, FormatForError(*value),
         "write " + std::string(expected));
  return nullptr;
}

void JsonReader::Read(std::string_view key, std::string& out) {
  const Json* value =
      FindTyped(key, true, Json::value_t::string, "a text in quotes");
  if (value == nullptr) {
    return;
  }
  out = value->get<std::string>();
  if (out.empty()) {
    Refuse(ErrorKind::kOutOfRange, key, "an empty text",
           "write a text of at least one character");
  }
}

void JsonReader::ReadOptional(std::string_view key, std::string& out) {
  const Json* value =
      FindTyped(key, false, Json::value_t::string, "a text in quotes");
  if (value != nullptr) {
    out = value->get<std::string>();
  }
}

void JsonReader::ReadDuration(std::string_view key,
                              Duration& out,
                              Duration low,
                              Duration high,
                              bool required) {
  const Json* value = Find(key, required);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    Refuse(ErrorKind::kWrongUnit, key, FormatForError(*value),
           std::string(kDurationRemedy));
    return;
  }
  const Duration parsed = Try(
      [&]() -> leaf::result<Duration> {
        return ParseDuration(value->get<std::string>(), PathOf(key));
      },
      [&](const Error& error) {
        Refuse(error.kind, key, error.found, error.remedy);
        return Duration::zero();
      });
  if (failed_) {
    return;
  }
  if (parsed < low || parsed > high) {
    Refuse(ErrorKind::kOutOfRange, key, FormatForError(*value),
           "write a time from " + FormatDuration(low) + " to " +
               FormatDuration(high));
    return;
  }
  out = parsed;
}

void JsonReader::Read(std::string_view key,
                      Duration& out,
                      Duration low,
                      Duration high) {
  ReadDuration(key, out, low, high, true);
}

void JsonReader::ReadOptional(std::string_view key,
                              Duration& out,
                              Duration low,
                              Duration high) {
  ReadDuration(key, out, low, high, false);
}

void JsonReader::ReadInteger(std::string_view key,
                             std::int64_t& out,
                             std::int64_t low,
                             std::int64_t high,
                             bool required) {
  const Json* value = Find(key, required);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number_integer()) {
    Refuse(ErrorKind::kWrongType, key, FormatForError(*value),
           "write a whole number without quotes");
    return;
  }
  const auto number = value->get<std::int64_t>();
  if (number < low || number > high) {
    Refuse(ErrorKind::kOutOfRange, key, FormatForError(*value),
           RangeRemedy(low, high));
    return;
  }
  out = number;
}

void JsonReader::Read(std::string_view key,
                      std::int64_t& out,
                      std::int64_t low,
                      std::int64_t high) {
  ReadInteger(key, out, low, high, true);
}

void JsonReader::ReadOptional(std::string_view key,
                              std::int64_t& out,
                              std::int64_t low,
                              std::int64_t high) {
  ReadInteger(key, out, low, high, false);
}

void JsonReader::ReadUnsigned(std::string_view key,
                              std::uint64_t& out,
                              bool required) {
  const Json* value = Find(key, required);
  if (value == nullptr) {
    return;
  }
  const bool negative = value->is_number_integer() &&
                        !value->is_number_unsigned() &&
                        value->get<std::int64_t>() < 0;
  if (!value->is_number_integer() || negative) {
    Refuse(ErrorKind::kWrongType, key, FormatForError(*value),
           "write a whole number from 0 without quotes");
    return;
  }
  out = value->get<std::uint64_t>();
}

void JsonReader::Read(std::string_view key, std::uint64_t& out) {
  ReadUnsigned(key, out, true);
}

void JsonReader::ReadOptional(std::string_view key, std::uint64_t& out) {
  ReadUnsigned(key, out, false);
}

void JsonReader::ReadNumber(std::string_view key,
                            double& out,
                            double low,
                            double high,
                            bool required) {
  const Json* value = Find(key, required);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    Refuse(ErrorKind::kWrongType, key, FormatForError(*value),
           "write a number without quotes");
    return;
  }
  const auto number = value->get<double>();
  if (!(number >= low && number <= high)) {
    Refuse(ErrorKind::kOutOfRange, key, FormatForError(*value),
           RangeRemedy(low, high));
    return;
  }
  out = number;
}

void JsonReader::Read(std::string_view key,
                      double& out,
                      double low,
                      double high) {
  ReadNumber(key, out, low, high, true);
}

void JsonReader::ReadOptional(std::string_view key,
                              double& out,
                              double low,
                              double high) {
  ReadNumber(key, out, low, high, false);
}

void JsonReader::ReadOptional(std::string_view key, bool& out) {
  const Json* value =
      FindTyped(key, false, Json::value_t::boolean, "true or false");
  if (value != nullptr) {
    out = value->get<bool>();
  }
}

void JsonReader::ReadAddress(std::string_view key,
                             SocketAddress& out,
                             bool required) {
  const Json* value =
      FindTyped(key, required, Json::value_t::string, "an address in quotes");
  if (value == nullptr) {
    return;
  }
  out = Try(
      [&]() -> leaf::result<SocketAddress> {
        return ParseSocketAddress(value->get<std::string>(), PathOf(key));
      },
      [&](const Error& error) {
        Refuse(error.kind, key, error.found, error.remedy);
        return SocketAddress{};
      });
}

void JsonReader::Read(std::string_view key, SocketAddress& out) {
  ReadAddress(key, out, true);
}

void JsonReader::ReadOptional(std::string_view key, SocketAddress& out) {
  ReadAddress(key, out, false);
}

void JsonReader::ReadOptional(std::string_view key,
                              std::vector<std::string>& out) {
  const Json* value =
      FindTyped(key, false, Json::value_t::array, "a list of texts");
  if (value == nullptr) {
    return;
  }
  std::vector<std::string> texts;
  for (const Json& it : *value) {
    if (!it.is_string()) {
      Refuse(ErrorKind::kWrongType, key, FormatForError(it),
             "write a list of texts");
      return;
    }
    texts.push_back(it.get<std::string>());
  }
  out = std::move(texts);
}

void JsonReader::ReadNamed(std::string_view key,
                           const std::vector<std::string_view>& names,
                           std::size_t& out,
                           bool required) {
  const Json* value = FindTyped(key, required, Json::value_t::string,
                                "one of the names in quotes");
  if (value == nullptr) {
    return;
  }
  const auto it = std::ranges::find(names, value->get<std::string>());
  if (it == names.end()) {
    std::string remedy = "write one of:";
    for (const std::string_view name : names) {
      remedy += " " + std::string(name);
    }
    Refuse(ErrorKind::kOutOfRange, key, FormatForError(*value), remedy);
    return;
  }
  out = static_cast<std::size_t>(it - names.begin());
}

void JsonReader::ReadChoice(std::string_view key,
                            const std::vector<std::string_view>& names,
                            std::size_t& out) {
  ReadNamed(key, names, out, true);
}

void JsonReader::ReadOptionalChoice(std::string_view key,
                                    const std::vector<std::string_view>& names,
                                    std::size_t& out) {
  ReadNamed(key, names, out, false);
}

const Json* JsonReader::OptionalValue(std::string_view key) {
  return Find(key, false);
}

const Json* JsonReader::Object(std::string_view key) {
  return FindTyped(key, true, Json::value_t::object, "an object in braces");
}

const Json* JsonReader::OptionalObject(std::string_view key) {
  return FindTyped(key, false, Json::value_t::object, "an object in braces");
}

const Json* JsonReader::Array(std::string_view key) {
  return FindTyped(key, true, Json::value_t::array, "a list in brackets");
}

const Json* JsonReader::OptionalArray(std::string_view key) {
  return FindTyped(key, false, Json::value_t::array, "a list in brackets");
}

void JsonReader::RefuseUnknownKeys() {
  if (failed_) {
    return;
  }
  for (const auto& it : json_.items()) {
    if (std::ranges::find(read_keys_, it.key()) != read_keys_.end()) {
      continue;
    }
    std::string remedy = "remove it or use one of:";
    for (const std::string& name : read_keys_) {
      remedy += " " + name;
    }
    Refuse(ErrorKind::kUnknownKey, it.key(), FormatForError(it.value()),
           remedy);
    return;
  }
}

leaf::result<void> JsonReader::Finish() {
  RefuseUnknownKeys();
  return FinishIgnoringUnknown();
}

leaf::result<void> JsonReader::FinishIgnoringUnknown() {
  if (failed_) {
    return leaf::new_error(error_);
  }
  return {};
}

}  // namespace damasktack
