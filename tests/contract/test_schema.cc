#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

#include "contract/document.h"

namespace damasktack {
namespace {

// The schemas are used by editors and third-party tools; the parser is
// authoritative. These tests check that both accept the same documents.

Json LoadSchema(const std::string& name) {
  std::ifstream file(std::string(DAMASKTACK_SOURCE_DIR) + "/contract/schema/" +
                     name + ".schema.json");
  std::ostringstream text;
  text << file.rdbuf();
  return Json::parse(text.str());
}

// The schema of one object together with a valid document that contains such an
// object.
struct Level {
  Json schema;
  // A valid document, and the location of the object in it.
  Json document;
  Json::json_pointer object;
  DocumentName name = DocumentName::kContracts;
};

std::optional<Error> ParseError(const Level& level, const Json& document) {
  const Document text{level.name, 1, document.dump()};
  return CaptureError([&]() -> leaf::result<void> {
    switch (level.name) {
      case DocumentName::kContracts:
        BOOST_LEAF_CHECK(ParseContracts(text));
        break;
      case DocumentName::kServices:
        BOOST_LEAF_CHECK(ParseServices(text));
        break;
      case DocumentName::kHosts:
        BOOST_LEAF_CHECK(ParseHosts(text));
        break;
    }
    return {};
  });
}

// Returns the level's document with one member of the object set to `value`.
Json WithMember(const Level& level, const std::string& key, const Json& value) {
  Json document = level.document;
  document[level.object][key] = value;
  return document;
}

const Json kContracts = Json::parse(R"({"contracts": [{"customer": "a",
  "limits": {}, "requests": [{"service": "s"}]}]})");
const Json kServices = Json::parse(R"({"services": [{"id": "s",
  "prefix": "/s", "endpoints": [{"id": "e", "address": "10.0.0.1:1",
  "zone": "z", "slots": 1}]}]})");
const Json kHosts = Json::parse(R"({"hosts": [{"id": "h",
  "peer_address": "10.0.0.1:1", "zone": "z"}]})");

std::vector<Level> Levels() {
  const Json contract =
      LoadSchema("contracts")["properties"]["contracts"]["items"];
  const Json service =
      LoadSchema("services")["properties"]["services"]["items"];
  const Json host = LoadSchema("hosts")["properties"]["hosts"]["items"];
  const auto at = [](const char* path) { return Json::json_pointer(path); };
  return {
      {contract, kContracts, at("/contracts/0"), DocumentName::kContracts},
      {contract["properties"]["limits"], kContracts, at("/contracts/0/limits"),
       DocumentName::kContracts},
      {contract["properties"]["requests"]["items"], kContracts,
       at("/contracts/0/requests/0"), DocumentName::kContracts},
      {service, kServices, at("/services/0"), DocumentName::kServices},
      {service["properties"]["endpoints"]["items"], kServices,
       at("/services/0/endpoints/0"), DocumentName::kServices},
      {host, kHosts, at("/hosts/0"), DocumentName::kHosts},
  };
}

// Returns the members that the parser accepts, as listed in its error about an
// unknown member.
std::set<std::string> ParserMembers(const Level& level) {
  const auto error = ParseError(level, WithMember(level, "no-such-member", 1));
  REQUIRE(error);
  REQUIRE(error->kind == ErrorKind::kUnknownKey);
  std::istringstream words(error->remedy.substr(error->remedy.find(':') + 1));
  std::set<std::string> members;
  for (std::string word; words >> word;) {
    members.insert(word);
  }
  return members;
}

TEST_CASE("schema and parser accept the same members") {
  for (const Level& level : Levels()) {
    CAPTURE(level.object.to_string());
    REQUIRE(!ParseError(level, level.document));
    std::set<std::string> members;
    for (const auto& it : level.schema["properties"].items()) {
      members.insert(it.key());
    }
    CHECK(members == ParserMembers(level));
    CHECK(level.schema["additionalProperties"] == false);
  }
}

TEST_CASE("schema and parser require the same members") {
  for (const Level& level : Levels()) {
    for (const auto& it : level.schema["properties"].items()) {
      CAPTURE(level.object.to_string());
      CAPTURE(it.key());
      Json document = level.document;
      document[level.object].erase(it.key());
      const auto error = ParseError(level, document);
      const auto& required = level.schema["required"];
      const bool is_required = std::find(required.begin(), required.end(),
                                         it.key()) != required.end();
      CHECK(is_required == error.has_value());
      CHECK((!error || error->kind == ErrorKind::kMissingKey));
    }
  }
}

TEST_CASE("schema and parser agree on ranges and enum values") {
  for (const Level& level : Levels()) {
    for (const auto& it : level.schema["properties"].items()) {
      CAPTURE(level.object.to_string());
      CAPTURE(it.key());
      const Json& property = it.value();
      if (property.contains("minimum")) {
        const auto low = property["minimum"].get<std::int64_t>();
        const auto high = property["maximum"].get<std::int64_t>();
        CHECK(!ParseError(level, WithMember(level, it.key(), low)));
        CHECK(!ParseError(level, WithMember(level, it.key(), high)));
        CHECK(ParseError(level, WithMember(level, it.key(), low - 1)));
        CHECK(ParseError(level, WithMember(level, it.key(), high + 1)));
      }
      for (const Json& name : property.value("enum", Json::array())) {
        CHECK(!ParseError(level, WithMember(level, it.key(), name)));
      }
    }
  }
}

TEST_CASE("schema and parser agree on defaults") {
  const Level contract = Levels().front();
  const auto defaults = [](const Json& schema) {
    Json json = Json::object();
    for (const auto& it : schema["properties"].items()) {
      if (it.value().contains("default")) {
        json[it.key()] = it.value()["default"];
      }
    }
    return json;
  };
  Json full = ToJson(Contract{});
  Json rule = ToJson(Contract{.requests = {RequestRule{}}})["requests"][0];
  rule.erase("service");
  CHECK(defaults(contract.schema["properties"]["requests"]["items"]) == rule);
  CHECK(defaults(contract.schema["properties"]["limits"]) == full["limits"]);
  for (const char* it : {"customer", "limits", "requests"}) {
    full.erase(it);
  }
  CHECK(defaults(contract.schema) == full);
}

}  // namespace
}  // namespace damasktack
