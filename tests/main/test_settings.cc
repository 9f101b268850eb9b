#include <doctest/doctest.h>

#include <string>

#include "main/settings.h"
#include "main/settings_snapshot.h"

namespace damasktack {
namespace {

// Returns valid settings as JSON, which tests then modify.
Json MakeValidSettings() {
  return Json::parse(R"({
    "host": "h1", "zone": "z1",
    "proxy": {"listen": "127.0.0.1:8080"},
    "admin": {"listen": "127.0.0.1:8081", "token": "0123456789abcdef"},
    "platform": {"address": "127.0.0.1:8082"},
    "fleet": {"listen": "127.0.0.1:8083", "key": "0123456789abcdef"}
  })");
}

// Returns valid settings of a deployment with a store instead of documents.
Json MakeValidStoreSettings() {
  Json json = MakeValidSettings();
  json.erase("platform");
  json["store"] = Json{{"address", "10.0.0.9:80"}};
  return json;
}

Error ErrorOf(const std::string& text) {
  return Try(
      [&]() -> leaf::result<Error> {
        BOOST_LEAF_CHECK(ParseSettings(text, "file"));
        return Error{};
      },
      [](const Error& error) { return error; });
}

Error ErrorOf(const Json& json) {
  return ErrorOf(json.dump());
}

Settings Parse(const Json& json) {
  return Try([&] { return ParseSettings(json.dump(), "file"); },
             [](const Error& error) {
               FAIL(ToString(error));
               return Settings{};
             });
}

TEST_CASE("zones are mapped to their regions") {
  Json json = MakeValidStoreSettings();
  json["regions"] = Json{{"z1", "north"}, {"z2", "south"}};
  const Settings settings = Parse(json);
  CHECK(settings.regions.at(ZoneId("z2")) == RegionId("south"));
  CHECK(Parse(MakeValidStoreSettings()).regions.empty());
  json["regions"]["z1"] = 7;
  const Error error = ErrorOf(json);
  CHECK(error.kind == ErrorKind::kWrongType);
  CHECK(!error.remedy.empty());
}

// After a reload of the settings the log must tell which changes are in force
// and which need a restart, and must not show a key.
TEST_CASE(
    "changed settings are grouped by whether a running host applies them") {
  const Settings running = Parse(MakeValidStoreSettings());
  CHECK(CompareSettings(running, running).applied.empty());
  CHECK(CompareSettings(running, running).after_restart.empty());
  Json json = MakeValidStoreSettings();
  json["fleet"]["seeds"] = Json::array({"10.0.0.1:8544"});
  json["fleet"]["key"] = "another-key-of-it";
  json["stop"] = Json{{"lag", "3s"}};
  json["proxy"]["threads"] = 4;
  const SettingsChange change = CompareSettings(running, Parse(json));
  CHECK(change.applied == std::vector<std::string>{"fleet.seeds", "stop.lag"});
  CHECK(change.after_restart ==
        std::vector<std::string>{"proxy.threads", "fleet.key"});
}

TEST_CASE("valid settings with comments are accepted") {
  CHECK(ErrorOf("// why\n" + MakeValidSettings().dump()) == Error{});
}

TEST_CASE("a host reads documents or a store, and not both") {
  CHECK(ErrorOf(MakeValidStoreSettings()) == Error{});
  Json both = MakeValidStoreSettings();
  both["platform"] = MakeValidSettings()["platform"];
  CHECK(ErrorOf(both).kind == ErrorKind::kDuplicate);
}

// Guards against a host that takes relayed calls although nobody can know of
// it, and against one without a store, which cannot relay any.
TEST_CASE("relays need a store and a fleet") {
  Json json = MakeValidStoreSettings();
  json["proxy"]["relay_listen"] = "10.0.0.1:7540";
  CHECK(ErrorOf(json) == Error{});
  json.erase("fleet");
  CHECK(ErrorOf(json).where == "proxy.relay_listen");
  Json documents = MakeValidSettings();
  documents["proxy"]["relay_listen"] = "10.0.0.1:7540";
  CHECK(ErrorOf(documents).where == "proxy.relay_listen");
}

TEST_CASE("a missing required setting is reported by its name") {
  for (const char* it : {"/host", "/zone", "/proxy", "/proxy/listen", "/admin",
                         "/admin/listen", "/admin/token", "/platform",
                         "/platform/address", "/fleet/listen", "/fleet/key"}) {
    CAPTURE(it);
    const Json::json_pointer pointer(it);
    Json json = MakeValidSettings();
    json.at(pointer.parent_pointer()).erase(pointer.back());
    const Error error = ErrorOf(json);
    CHECK(error.kind == ErrorKind::kMissingKey);
    CHECK(error.where.find(pointer.back()) != std::string::npos);
    CHECK(!error.remedy.empty());
  }
}

// Every described setting must be known to the parser, and a value of the wrong
// type must be rejected under its key.
TEST_CASE("each described setting rejects a value of the wrong type") {
  for (const SettingDescription& it : DescribeSettings()) {
    CAPTURE(it.key);
    std::string path = "/" + it.key;
    for (char& letter : path) {
      letter = letter == '.' ? '/' : letter;
    }
    Json json = it.key.starts_with("store.") ? MakeValidStoreSettings()
                                             : MakeValidSettings();
    json[Json::json_pointer(path)] = Json::array({1});
    const Error error = ErrorOf(json);
    CHECK(error.where == it.key);
    CHECK(error.kind != ErrorKind::kUnknownKey);
    CHECK(!error.remedy.empty());
  }
}

TEST_CASE("an unknown key is rejected and its value not shown") {
  Json json = MakeValidSettings();
  json["admin"]["tokn"] = "secret-value";
  const Error error = ErrorOf(json);
  CHECK(error.kind == ErrorKind::kUnknownKey);
  CHECK(error.where == "admin.tokn");
  CHECK(ToString(error).find("secret-value") == std::string::npos);
  CHECK(error.remedy.find("token_file") != std::string::npos);
}

TEST_CASE("an error near the token does not show it") {
  CHECK(ToString(
            ErrorOf(std::string(R"({"admin": {"token": "secret-value" x}})")))
            .find("secret") == std::string::npos);
  Json json = MakeValidSettings();
  json["admin"]["token"] = 12345678;
  CHECK(ToString(ErrorOf(json)).find("12345678") == std::string::npos);
}

TEST_CASE(
    "the administration API listens on loopback unless remote access is "
    "allowed") {
  Json json = MakeValidSettings();
  json["admin"]["listen"] = "10.0.0.1:8081";
  const Error error = ErrorOf(json);
  CHECK(error.where == "admin.listen");
  CHECK(error.remedy.find("allow_remote") != std::string::npos);
  json["admin"]["allow_remote"] = true;
  CHECK(ErrorOf(json) == Error{});
  json["admin"]["listen"] = "[::1]:8081";
  json["admin"]["allow_remote"] = false;
  CHECK(ErrorOf(json) == Error{});
}

TEST_CASE("the token has a minimum length and one source") {
  Json json = MakeValidSettings();
  json["admin"]["token"] = "short";
  CHECK(ErrorOf(json).where == "admin.token");
  json = MakeValidSettings();
  json["admin"]["token_file"] = "/nowhere";
  CHECK(ErrorOf(json).where == "admin.token");
  json["admin"].erase("token");
  CHECK(ErrorOf(json).kind == ErrorKind::kFileUnreadable);
}

TEST_CASE("wrong units, ranges and addresses are rejected") {
  Json json = MakeValidSettings();
  json["stop"]["lag"] = 5;
  CHECK(ErrorOf(json).kind == ErrorKind::kWrongUnit);
  json["stop"]["lag"] = "11min";
  CHECK(ErrorOf(json).kind == ErrorKind::kOutOfRange);
  json["stop"]["lag"] = "5s";
  json["proxy"]["listen"] = "localhost:80";
  CHECK(ErrorOf(json).kind == ErrorKind::kInvalidAddress);
}

// Guards against a host whose peers have stopped too: it waited for the
// handover of its claims until the platform killed it.
TEST_CASE("the handover of claims ends within the grace time") {
  using std::chrono::milliseconds;
  StopOptions stop;
  CHECK(MaxHandoverTime(stop, std::chrono::minutes(1)) == milliseconds(3000));
  stop.grace_seconds = 6;
  CHECK(MaxHandoverTime(stop, milliseconds(100)) == milliseconds(3000));
  CHECK(MaxHandoverTime(stop, milliseconds(5000)) == milliseconds(750));
  CHECK(MaxHandoverTime(stop, MaxStopTime(stop)) == milliseconds(250));
  CHECK(MaxHandoverTime(stop, milliseconds(6000)) == milliseconds(0));
}

}  // namespace
}  // namespace damasktack
