#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "platform/kv_client.h"
#include "platform/kv_codec.h"
#include "platform/standin/standin_store.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An entry as an endpoint of the platform writes it.
Json OwnEntry() {
  return Json::parse(R"({"address":"10.128.0.9:8080","born":1764723600123,
"info":{"service":"s","version":"v1","zone":"z","slots":6},
"status":{"state":"ready","sequence":4,"cold_ms":900}})");
}

std::string Cbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

bool IsUsable(const std::string& id, const std::string& bytes) {
  return !CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(DecodeEndpoint(id, bytes));
    return {};
  });
}

// `path` is "info.slots" or "address".
Json With(std::string_view path, const Json& value) {
  Json entry = OwnEntry();
  const std::size_t dot = path.find('.');
  if (dot == std::string_view::npos) {
    entry[std::string(path)] = value;
  } else {
    entry[std::string(path.substr(0, dot))][std::string(path.substr(dot + 1))] =
        value;
  }
  return entry;
}

TEST_CASE("an entry tells of its endpoint's process and when it started") {
  PublishedEndpoint endpoint;
  REQUIRE(!CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(endpoint, DecodeEndpoint("i-1", Cbor(OwnEntry())));
    return {};
  }));
  CHECK(endpoint.spec.started_at == EndpointStart(milliseconds(1764723600123)));
  Json former = OwnEntry();
  former.erase("born");
  CHECK(IsUsable("i-1", Cbor(former)));
}

TEST_CASE("an entry with a field that is missing names no endpoint") {
  for (const std::string field : {"address", "info", "status"}) {
    CAPTURE(field);
    Json entry = OwnEntry();
    entry.erase(field);
    CHECK(!IsUsable("i-1", Cbor(entry)));
  }
  for (const std::string part : {"info", "status"}) {
    for (const auto& [field, value] : OwnEntry()[part].items()) {
      CAPTURE(field);
      Json entry = OwnEntry();
      entry[part].erase(field);
      CHECK(!IsUsable("i-1", Cbor(entry)));
    }
  }
}

TEST_CASE("an entry with a field of another type or range names no endpoint") {
  const std::vector<Json> strangers = {nullptr,
                                       true,
                                       -1,
                                       1.5,
                                       "text",
                                       Json::array({1}),
                                       Json::object({{"a", 1}})};
  for (const std::string path :
       {"address", "born", "info", "info.service", "info.version", "info.zone",
        "info.slots", "status", "status.state", "status.sequence",
        "status.cold_ms"}) {
    for (const Json& it : strangers) {
      const bool is_text_field = path == "info.service" ||
                                 path == "info.version" || path == "info.zone";
      if (is_text_field && it.is_string()) {
        continue;
      }
      CAPTURE(path);
      CAPTURE(it.dump());
      CHECK(!IsUsable("i-1", Cbor(With(path, it))));
    }
  }
  const std::vector<std::pair<std::string, Json>> out_of_range = {
      {"info.slots", 0},
      {"info.slots", 1'000'000'000'000},
      {"status.cold_ms", 1'000'000'000'000},
      {"born", -1},
      {"born", 9'223'372'036'854'775'807},
      {"born", 1764723600123.5},
      {"status.state", "warming"},
      {"status.state", ""},
      {"address", "10.0.0.1"},
      {"address", "10.0.0.1:0"},
      {"address", "10.0.0.1:70000"},
      {"address", "endpoint.example:80"},
      {"address", ""},
      {"info.service", ""},
      {"info.zone", ""},
      {"info.zone", "a\r\nb"},
      {"info.zone", std::string("\xff\xfe")},
      {"info.service", std::string(5000, 's')}};
  for (const auto& [path, value] : out_of_range) {
    CAPTURE(path);
    CHECK(!IsUsable("i-1", Cbor(With(path, value))));
  }
}

TEST_CASE("bytes that are no entry name no endpoint") {
  const std::string own = Cbor(OwnEntry());
  for (const std::string& it :
       {std::string(), std::string("{"), std::string("\xff"), own + "x",
        own.substr(0, own.size() / 2), Cbor(Json::array()), Cbor(7),
        std::string(1U << 16U, '\x81'), std::string(1U << 16U, '\xa1')}) {
    CHECK(!IsUsable("i-1", it));
  }
}

// The id becomes a header of each request to the endpoint: with a line break in
// it, whoever writes keys could add headers or whole requests.
TEST_CASE("an id that cannot stand in a header names no endpoint") {
  const std::string own = Cbor(OwnEntry());
  CHECK(IsUsable("i-7f3a91c2", own));
  for (const std::string& it :
       {std::string(), std::string("a b"), std::string("a\r\nX: y"),
        std::string("a\0b", 3), std::string("\xc3\xa9"),
        std::string(192, 'i')}) {
    CHECK(!IsUsable(it, own));
  }
}

// Callers are refused although endpoints are there: a mistaken writer has left
// a thousand entries of its own between theirs, over several pages.
TEST_CASE("a thousand foreign entries cost none of their neighbours") {
  StandinStore store(100);
  constexpr int kOwn = 30;
  for (int n = 0; n < 1000; ++n) {
    store.Put("servers/x-" + std::to_string(n),
              n % 2 == 0 ? "\xff\xff" : Cbor(With("status.state", n)));
    if (n < kOwn) {
      store.Put("servers/i-" + std::to_string(n), Cbor(OwnEntry()));
    }
  }
  store.Put("servers/" + std::string(190, '\x01'), Cbor(OwnEntry()));
  KvClient client({"127.0.0.1", store.port()});
  PublishedItems all;
  REQUIRE(!CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(all, client.ReadAll(seconds(5)));
    return {};
  }));
  const auto count = [&](auto is_kind) {
    return std::ranges::count_if(
        all.items, [&](const auto& it) { return is_kind(it.value); });
  };
  CHECK(count([](const auto& it) {
          return std::holds_alternative<PublishedEndpoint>(it);
        }) == kOwn);
  CHECK(count([](const auto& it) {
          return std::holds_alternative<UnusableEndpoint>(it);
        }) == 1001);
  for (const PublishedItem& it : all.items) {
    if (const auto* unusable = std::get_if<UnusableEndpoint>(&it.value)) {
      CHECK(ToString(unusable->error).size() < 512);
    }
  }
}

// Whatever stands under a key, decoding ends, and what it lets through is fit
// for use.
TEST_CASE("bytes changed at random are refused or decoded, and nothing else") {
  CHECK(rc::check("mutations", [] {
    std::string bytes = Cbor(OwnEntry());
    const int changes = *rc::gen::inRange(1, 6);
    for (int n = 0; n < changes && !bytes.empty(); ++n) {
      const auto at = static_cast<std::size_t>(
          *rc::gen::inRange(0, static_cast<int>(bytes.size())));
      const auto byte = static_cast<char>(*rc::gen::inRange(0, 256));
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          bytes[at] = byte;
          break;
        case 1:
          bytes.insert(at, 1, byte);
          break;
        default:
          bytes.erase(at, 1);
      }
    }
    PublishedEndpoint endpoint;
    const auto fault = CaptureError([&]() -> leaf::result<void> {
      BOOST_LEAF_ASSIGN(endpoint, DecodeEndpoint("i-1", bytes));
      return {};
    });
    if (!fault) {
      RC_ASSERT(endpoint.spec.slots >= 1);
      RC_ASSERT(endpoint.spec.address.port > 0);
      RC_ASSERT(!endpoint.service.empty());
      RC_ASSERT(endpoint.spec.started_at.time_since_epoch().count() >= 0);
    }
    // The same bytes as a book, and as the store's own answer.
    CaptureError([&]() -> leaf::result<void> {
      BOOST_LEAF_CHECK(DecodeRouteTable(bytes));
      BOOST_LEAF_CHECK(DecodeKvEvents(bytes));
      return {};
    });
  }));
}

}  // namespace
}  // namespace damasktack
