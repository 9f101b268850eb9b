#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "contract/contract_check.h"
#include "contract/document.h"

namespace damasktack {
namespace {

std::string Text(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Source(const std::string& path) {
  return std::string(DAMASKTACK_SOURCE_DIR) + "/" + path;
}

Document AsDocument(DocumentName name, const std::string& body) {
  return Document{name, 1, body};
}

std::optional<Error> FaultIn(DocumentName name, const std::string& body) {
  const Document document = AsDocument(name, body);
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

// Each file under broken/ is one mistake that an operator may publish. The
// whole document is refused with the place and what to write instead, so that
// the last good contracts stay in force and the operator needs no manual.
TEST_CASE("each broken document is refused with its place and remedy") {
  int seen = 0;
  const auto folder = Source("tests/contract/broken");
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    const std::string name = it.path().filename().string();
    CAPTURE(name);
    const Json expected = Json::parse(Text(it.path()));
    const auto fault = FaultIn(DocumentName::kContracts,
                               expected["document"].get<std::string>());
    REQUIRE(fault);
    CHECK(ToString(fault->kind) == expected["kind"].get<std::string>());
    CHECK(fault->where == expected["where"].get<std::string>());
    const auto remedy = expected["remedy_says"].get<std::string>();
    CAPTURE(fault->remedy);
    CHECK(fault->remedy.find(remedy) != std::string::npos);
    ++seen;
  }
  CHECK(seen >= 20);
}

TEST_CASE("what stands where a digest belongs is not shown") {
  const auto fault = FaultIn(DocumentName::kContracts, R"({"contracts": [
    {"customer": "a", "key_sha256": ["the-key-itself"], "requests": []}]})");
  REQUIRE(fault);
  CHECK(ToString(*fault).find("the-key-itself") == std::string::npos);
}

TEST_CASE("services and hosts") {
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
    const auto fault = FaultIn(it.name, it.body);
    REQUIRE(fault);
    CHECK(fault->kind == it.kind);
    CHECK(fault->where == it.where);
    CHECK(!fault->remedy.empty());
  }
}

// A wider rule that stands below narrower ones is how contracts are meant to
// be written; only the reverse hides a rule.
TEST_CASE("narrow rules above wide ones are sound") {
  CHECK(!FaultIn(DocumentName::kContracts, R"({"contracts": [
    {"customer": "a", "requests": [
      {"service": "s", "methods": ["POST"], "path_prefix": "/dock"},
      {"service": "s", "methods": ["POST"]},
      {"service": "t"},
      {"service": "s"}]}]})"));
}

TEST_CASE("the examples are sound and name only services that they publish") {
  for (const char* it : {"alentejo", "cuyo"}) {
    CAPTURE(it);
    const std::string folder = Source("examples/") + it + "/";
    const auto fault = CaptureError([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(contracts, ParseContracts(AsDocument(
                                     DocumentName::kContracts,
                                     Text(folder + "contracts.json"))));
      BOOST_LEAF_AUTO(
          services, ParseServices(AsDocument(DocumentName::kServices,
                                             Text(folder + "services.json"))));
      BOOST_LEAF_CHECK(ParseHosts(
          AsDocument(DocumentName::kHosts, Text(folder + "hosts.json"))));
      BOOST_LEAF_CHECK(CheckReferences(contracts, services));
      return {};
    });
    CHECK(fault.value_or(Error{}) == Error{});
  }
}

TEST_CASE("a service that nobody publishes is found") {
  const auto fault = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(contracts,
                    ParseContracts(AsDocument(DocumentName::kContracts,
                                              R"({"contracts": [
      {"customer": "a", "requests": [{"service": "s"}]}]})")));
    return CheckReferences(contracts, ServiceList{});
  });
  REQUIRE(fault);
  CHECK(fault->kind == ErrorKind::kUnknownReference);
  CHECK(fault->where == "contracts[0].requests[0].service");
}

}  // namespace
}  // namespace damasktack
