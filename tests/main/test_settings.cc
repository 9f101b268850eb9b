#include <doctest/doctest.h>

#include <string>

#include "main/settings.h"
#include "main/settings_snapshot.h"

namespace damasktack {
namespace {

// Sound settings, as JSON that a test then spoils.
Json Sound() {
  return Json::parse(R"({
    "host": "h1", "zone": "z1",
    "proxy": {"listen": "127.0.0.1:8080"},
    "admin": {"listen": "127.0.0.1:8081", "token": "0123456789abcdef"},
    "platform": {"address": "127.0.0.1:8082"},
    "fleet": {"listen": "127.0.0.1:8083", "key": "0123456789abcdef"}
  })");
}

// The same for a deployment that has a store in place of documents.
Json SoundWithStore() {
  Json json = Sound();
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

Settings Parsed(const Json& json) {
  return Try([&] { return ParseSettings(json.dump(), "file"); },
             [](const Error& error) {
               FAIL(ToString(error));
               return Settings{};
             });
}

TEST_CASE("zones have the regions that the settings name") {
  Json json = SoundWithStore();
  json["regions"] = Json{{"z1", "north"}, {"z2", "south"}};
  const Settings settings = Parsed(json);
  CHECK(settings.regions.at(ZoneId("z2")) == RegionId("south"));
  CHECK(Parsed(SoundWithStore()).regions.empty());
  json["regions"]["z1"] = 7;
  const Error error = ErrorOf(json);
  CHECK(error.kind == ErrorKind::kWrongType);
  CHECK(!error.remedy.empty());
}

// An operator changes a file and has the hosts read it again. The log has to
// say what is in force now and what is not, and must not show a key.
TEST_CASE("changed settings are told by whether a running host takes them in") {
  const Settings running = Parsed(SoundWithStore());
  CHECK(CompareSettings(running, running).applied.empty());
  CHECK(CompareSettings(running, running).after_restart.empty());
  Json json = SoundWithStore();
  json["fleet"]["seeds"] = Json::array({"10.0.0.1:8544"});
  json["fleet"]["key"] = "another-key-of-it";
  json["stop"] = Json{{"lag", "3s"}};
  json["proxy"]["threads"] = 4;
  const SettingsChange change = CompareSettings(running, Parsed(json));
  CHECK(change.applied == std::vector<std::string>{"fleet.seeds", "stop.lag"});
  CHECK(change.after_restart ==
        std::vector<std::string>{"proxy.threads", "fleet.key"});
}

TEST_CASE("sound settings with comments are taken") {
  CHECK(ErrorOf("// why\n" + Sound().dump()) == Error{});
}

TEST_CASE("a host reads documents or a store, and not both") {
  CHECK(ErrorOf(SoundWithStore()) == Error{});
  Json both = SoundWithStore();
  both["platform"] = Sound()["platform"];
  CHECK(ErrorOf(both).kind == ErrorKind::kDuplicate);
}

TEST_CASE("each required setting is missed by name") {
  for (const char* it : {"/host", "/zone", "/proxy", "/proxy/listen", "/admin",
                         "/admin/listen", "/admin/token", "/platform",
                         "/platform/address", "/fleet/listen", "/fleet/key"}) {
    CAPTURE(it);
    const Json::json_pointer pointer(it);
    Json json = Sound();
    json.at(pointer.parent_pointer()).erase(pointer.back());
    const Error error = ErrorOf(json);
    CHECK(error.kind == ErrorKind::kMissingKey);
    CHECK(error.where.find(pointer.back()) != std::string::npos);
    CHECK(!error.remedy.empty());
  }
}

// Every optional setting that the page lists is known to the parser, and a
// value of the wrong type is refused under its key.
TEST_CASE("each described setting refuses a value that is none") {
  for (const SettingDescription& it : DescribeSettings()) {
    CAPTURE(it.key);
    std::string path = "/" + it.key;
    for (char& letter : path) {
      letter = letter == '.' ? '/' : letter;
    }
    Json json = it.key.starts_with("store.") ? SoundWithStore() : Sound();
    json[Json::json_pointer(path)] = Json::array({1});
    const Error error = ErrorOf(json);
    CHECK(error.where == it.key);
    CHECK(error.kind != ErrorKind::kUnknownKey);
    CHECK(!error.remedy.empty());
  }
}

TEST_CASE("an unknown key is refused, its value not shown") {
  Json json = Sound();
  json["admin"]["tokn"] = "secret-value";
  const Error error = ErrorOf(json);
  CHECK(error.kind == ErrorKind::kUnknownKey);
  CHECK(error.where == "admin.tokn");
  CHECK(ToString(error).find("secret-value") == std::string::npos);
  CHECK(error.remedy.find("token_file") != std::string::npos);
}

TEST_CASE("a fault beside the token does not show it") {
  CHECK(ToString(
            ErrorOf(std::string(R"({"admin": {"token": "secret-value" x}})")))
            .find("secret") == std::string::npos);
  Json json = Sound();
  json["admin"]["token"] = 12345678;
  CHECK(ToString(ErrorOf(json)).find("12345678") == std::string::npos);
}

TEST_CASE("administration stays on loopback unless it is said otherwise") {
  Json json = Sound();
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

TEST_CASE("the token has a least length and one source") {
  Json json = Sound();
  json["admin"]["token"] = "short";
  CHECK(ErrorOf(json).where == "admin.token");
  json = Sound();
  json["admin"]["token_file"] = "/nowhere";
  CHECK(ErrorOf(json).where == "admin.token");
  json["admin"].erase("token");
  CHECK(ErrorOf(json).kind == ErrorKind::kFileUnreadable);
}

TEST_CASE("units and ranges") {
  Json json = Sound();
  json["stop"]["lag"] = 5;
  CHECK(ErrorOf(json).kind == ErrorKind::kWrongUnit);
  json["stop"]["lag"] = "11min";
  CHECK(ErrorOf(json).kind == ErrorKind::kOutOfRange);
  json["stop"]["lag"] = "5s";
  json["proxy"]["listen"] = "localhost:80";
  CHECK(ErrorOf(json).kind == ErrorKind::kInvalidAddress);
}

}  // namespace
}  // namespace damasktack
