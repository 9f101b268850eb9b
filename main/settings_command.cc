#include "main/settings_command.h"

#include <string>

#include "main/settings.h"

namespace damasktack {

namespace {

leaf::result<CtlExit> RunCheck(const CtlInvocation& invocation) {
  const std::string& path = invocation.arguments.front();
  BOOST_LEAF_AUTO(settings, LoadSettings(path));
  if (invocation.json) {
    invocation.out << Json{{"file", path},
                           {"host", settings.host.text()},
                           {"zone", settings.zone.text()}}
                          .dump(2)
                   << "\n";
  } else {
    invocation.out << path << ": sound, host " << settings.host << " in zone "
                   << settings.zone << "\n";
  }
  return CtlExit::kDone;
}

leaf::result<CtlExit> RunDescribe(const CtlInvocation& invocation) {
  const std::vector<SettingDescription> settings = DescribeSettings();
  if (invocation.json) {
    Json list = Json::array();
    for (const SettingDescription& it : settings) {
      list.push_back(Json{{"key", it.key},
                          {"unit", it.unit},
                          {"default", it.default_value},
                          {"range", it.range},
                          {"meaning", it.meaning}});
    }
    invocation.out << Json{{"settings", list}}.dump(2) << "\n";
    return CtlExit::kDone;
  }
  invocation.out << "| key | unit | default | range | meaning |\n"
                 << "| --- | --- | --- | --- | --- |\n";
  for (const SettingDescription& it : settings) {
    invocation.out << "| `" << it.key << "` | " << it.unit << " | "
                   << it.default_value << " | " << it.range << " | "
                   << it.meaning << " |\n";
  }
  return CtlExit::kDone;
}

}  // namespace

constinit const CtlCommand kSettingsCheckCommand{
    .words = "settings check",
    .arguments = "FILE",
    .summary = "check a daemon's settings file",
    .description =
        "Validates the whole file as the daemon does at its start. "
        "An error is printed with its key, what was found and the "
        "remedy.",
    .min_arguments = 1,
    .max_arguments = 1,
    .hosts = CtlHosts::kNone,
    .add_options = nullptr,
    .run = RunCheck};

constinit const CtlCommand kSettingsDescribeCommand{
    .words = "settings describe",
    .arguments = "",
    .summary = "print every setting with unit, default and range",
    .description = "The table of docs/SETTINGS.md.",
    .min_arguments = 0,
    .max_arguments = 0,
    .hosts = CtlHosts::kNone,
    .add_options = nullptr,
    .run = RunDescribe};

}  // namespace damasktack
