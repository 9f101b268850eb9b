#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "contract/contract_check.h"
#include "contract/document.h"

namespace damasktack {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string SourcePath(const std::string& path) {
  return std::string(DAMASKTACK_SOURCE_DIR) + "/" + path;
}

Document MakeDocument(DocumentName name, const std::string& body) {
  return Document{name, 1, body};
}

std::optional<Error> ParseError(DocumentName name, const std::string& body) {
  const Document document = MakeDocument(name, body);
  return CaptureError([&]() -> leaf::result<void> {
    switch (name) {
      case DocumentName::kContracts:
        BOOST_LEAF_CHECK(ParseContracts(document));
        break;
      case DocumentName::kServices:
        BOOST_LEAF_CHECK(ParseServices(document));
        break;
      case DocumentName::kHosts:
        BOOST_LEAF_CHECK(ParseHosts(document));
        break;
    }
    return {};
  });
}

// Each file under broken/ holds one mistake that an operator may publish. The
// whole document must be rejected, so that the last valid contracts stay in
// force, and the error must name the location and the remedy.
TEST_CASE("each invalid document is rejected with location and remedy") {
  int checked = 0;
  const auto folder = SourcePath("tests/contract/broken");
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    const std::string name = it.path().filename().string();
    CAPTURE(name);
    const Json expected = Json::parse(ReadFile(it.path()));
    const auto error = ParseError(DocumentName::kContracts,
                                  expected["document"].get<std::string>());
    REQUIRE(error);
    CHECK(ToString(error->kind) == expected["kind"].get<std::string>());
    CHECK(error->where == expected["where"].get<std::string>());
    const auto remedy = expected["remedy_says"].get<std::string>();
    CAPTURE(error->remedy);
    CHECK(error->remedy.find(remedy) != std::string::npos);
    ++checked;
  }
  CHECK(checked >= 20);
}

TEST_CASE("an invalid key digest is not shown in the error") {
  const auto error = ParseError(DocumentName::kContracts, R"({"contracts": [
    {"customer": "a", "key_sha256": ["the-key-itself"], "requests": []}]})");
  REQUIRE(error);
  CHECK(ToString(*error).find("the-key-itself") == std::string::npos);
}

TEST_CASE("invalid services and hosts are rejected with their location") {
  struct Case {
    DocumentName name;
    std::string body;
    ErrorKind kind;
    std::string where;
  };
  const std::string end = R"(, "zone": "z1", "slots": 1})";
  const std::vector<Case> cases = {
      {DocumentName::kServices,
       R"({"services": [{"id": "a", "prefix": "/a", "endpoints": []},
           {"id": "a", "prefix": "/b", "endpoints": []}]})",
       ErrorKind::kDuplicate, "services[1].id"},
      {DocumentName::kServices,
       R"({"services": [{"id": "a", "prefix": "/a", "endpoints": []},
           {"id": "b", "prefix": "/a", "endpoints": []}]})",
       ErrorKind::kDuplicate, "services[1].prefix"},
      {DocumentName::kServices,
       R"({"services": [{"id": "a", "prefix": "a/", "endpoints": []}]})",
       ErrorKind::kOutOfRange, "services[0].prefix"},
      {DocumentName::kServices,
       R"({"services": [{"id": "a b", "prefix": "/a", "endpoints": []}]})",
       ErrorKind::kOutOfRange, "services[0].id"},
      {DocumentName::kServices,
       R"({"services": [{"id": "a", "prefix": "/a", "endpoints": [
           {"id": "e", "address": "10.0.0.1:1")" +
           end + R"(, {"id": "e", "address": "10.0.0.1:2")" + end + "]}]}",
       ErrorKind::kDuplicate, "services[0].endpoints[1].id"},
      {DocumentName::kServices,
       R"({"services": [{"id": "a", "prefix": "/a", "endpoints": [
           {"id": "e", "address": "10.0.0.1:1")" +
           end + R"(]}, {"id": "b", "prefix": "/b", "endpoints": [
           {"id": "e", "address": "10.0.0.1:1")" +
           end + "]}]}",
       ErrorKind::kDuplicate, "services[1].endpoints[0].address"},
      {DocumentName::kServices,
       R"({"services": [{"id": "a", "prefix": "/a", "endpoints": [
           {"id": "e", "address": "10.0.0.1:0")" +
           end + "]}]}",
       ErrorKind::kInvalidAddress, "services[0].endpoints[0].address"},
      {DocumentName::kHosts,
       R"({"hosts": [{"id": "h", "zone": "z", "peer_address": "10.0.0.1:1"},
           {"id": "h", "zone": "z", "peer_address": "10.0.0.2:1"}]})",
       ErrorKind::kDuplicate, "hosts[1].id"},
      {DocumentName::kHosts,
       R"({"hosts": [{"id": "h", "zone": "z", "peer_address": "10.0.0.1:1"},
           {"id": "i", "zone": "z", "peer_address": "10.0.0.1:1"}]})",
       ErrorKind::kDuplicate, "hosts[1].peer_address"},
      {DocumentName::kHosts,
       R"({"hosts": [{"id": "h", "zone": "z", "peer_address": "h:1"}]})",
       ErrorKind::kInvalidAddress, "hosts[0].peer_address"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.body);
    const auto error = ParseError(it.name, it.body);
    REQUIRE(error);
    CHECK(error->kind == it.kind);
    CHECK(error->where == it.where);
    CHECK(!error->remedy.empty());
  }
}

// A narrow rule above a wider one is the intended order; only the reverse makes
// a rule unreachable.
TEST_CASE("narrow rules above wider rules are valid") {
  CHECK(!ParseError(DocumentName::kContracts, R"({"contracts": [
    {"customer": "a", "requests": [
      {"service": "s", "methods": ["POST"], "path_prefix": "/dock"},
      {"service": "s", "methods": ["POST"]},
      {"service": "t"},
      {"service": "s"}]}]})"));
}

TEST_CASE("the examples are valid and reference only published services") {
  for (const char* it : {"alentejo", "cuyo"}) {
    CAPTURE(it);
    const std::string folder = SourcePath("examples/") + it + "/";
    const auto error = CaptureError([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(contracts, ParseContracts(MakeDocument(
                                     DocumentName::kContracts,
                                     ReadFile(folder + "contracts.json"))));
      BOOST_LEAF_AUTO(services, ParseServices(MakeDocument(
                                    DocumentName::kServices,
                                    ReadFile(folder + "services.json"))));
      BOOST_LEAF_CHECK(ParseHosts(
          MakeDocument(DocumentName::kHosts, ReadFile(folder + "hosts.json"))));
      BOOST_LEAF_CHECK(CheckReferences(contracts, services));
      return {};
    });
    CHECK(error.value_or(Error{}) == Error{});
  }
}

TEST_CASE("a reference to an unpublished service is detected") {
  const auto error = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(contracts,
                    ParseContracts(MakeDocument(DocumentName::kContracts,
                                                R"({"contracts": [
      {"customer": "a", "requests": [{"service": "s"}]}]})")));
    return CheckReferences(contracts, ServiceList{});
  });
  REQUIRE(error);
  CHECK(error->kind == ErrorKind::kUnknownReference);
  CHECK(error->where == "contracts[0].requests[0].service");
}

}  // namespace
}  // namespace damasktack
