#include "main/settings_describer.h"

#include <array>
#include <cstdio>

namespace damasktack {

namespace {

constexpr auto kRequired = "required";
constexpr auto kNone = "none";

std::string FormatNumber(double number) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%g", number);
  return buf.data();
}

std::string FormatRange(const std::string& low, const std::string& high) {
  return low + " to " + high;
}

std::string FormatDefault(SettingNeed need, const std::string& value) {
  if (need == SettingNeed::kRequired) {
    return kRequired;
  }
  return value.empty() ? kNone : value;
}

}  // namespace

std::string SettingsDescriber::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void SettingsDescriber::DescribeName(std::string_view key,
                                     std::string_view meaning) {
  descriptions_.push_back(
      {PathOf(key), "name", kRequired, "not empty", std::string(meaning)});
}

void SettingsDescriber::DescribeNames(std::string_view key,
                                      std::string_view meaning) {
  descriptions_.push_back({PathOf(key), "object of names", kNone,
                           "names not empty", std::string(meaning)});
}

void SettingsDescriber::Text(std::string_view key,
                             const std::string& value,
                             std::string_view meaning) {
  descriptions_.push_back({PathOf(key), "text",
                           FormatDefault(SettingNeed::kOptional, value),
                           "not empty", std::string(meaning)});
}

void SettingsDescriber::Secret(std::string_view key,
                               const std::string& /*value*/,
                               std::string_view meaning) {
  descriptions_.push_back({PathOf(key), "text, never shown", kNone, "not empty",
                           std::string(meaning)});
}

void SettingsDescriber::Address(std::string_view key,
                                const SocketAddress& value,
                                SettingNeed need,
                                std::string_view meaning) {
  const std::string text = value.ip.empty() ? "" : ToString(value);
  descriptions_.push_back({PathOf(key), "IP number and port",
                           FormatDefault(need, text), "port 0 to 65535",
                           std::string(meaning)});
}

void SettingsDescriber::Time(std::string_view key,
                             Duration value,
                             Duration low,
                             Duration high,
                             std::string_view meaning) {
  descriptions_.push_back(
      {PathOf(key), "time with unit", FormatDuration(value),
       FormatRange(FormatDuration(low), FormatDuration(high)),
       std::string(meaning)});
}

void SettingsDescriber::Count(std::string_view key,
                              std::int64_t value,
                              std::int64_t low,
                              std::int64_t high,
                              std::string_view unit,
                              std::string_view meaning) {
  descriptions_.push_back(
      {PathOf(key), std::string(unit), std::to_string(value),
       FormatRange(std::to_string(low), std::to_string(high)),
       std::string(meaning)});
}

void SettingsDescriber::Number(std::string_view key,
                               double value,
                               double low,
                               double high,
                               std::string_view unit,
                               std::string_view meaning) {
  descriptions_.push_back({PathOf(key), std::string(unit), FormatNumber(value),
                           FormatRange(FormatNumber(low), FormatNumber(high)),
                           std::string(meaning)});
}

void SettingsDescriber::Flag(std::string_view key,
                             bool value,
                             std::string_view meaning) {
  descriptions_.push_back({PathOf(key), "true or false",
                           value ? "true" : "false", "true, false",
                           std::string(meaning)});
}

void SettingsDescriber::Addresses(std::string_view key,
                                  const std::vector<SocketAddress>& /*value*/,
                                  std::string_view meaning) {
  descriptions_.push_back({PathOf(key), "list of IP numbers with ports", kNone,
                           "port 0 to 65535", std::string(meaning)});
}

}  // namespace damasktack
