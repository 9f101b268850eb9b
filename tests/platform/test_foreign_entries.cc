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

// A valid entry, as an endpoint writes it.
Json ValidEntry() {
  return Json::parse(R"({"address":"10.128.0.9:8080","born":1764723600123,
"info":{"service":"s","version":"v1","zone":"z","slots":6},
"status":{"state":"ready","sequence":4,"cold_ms":900}})");
}

std::string ToCbor(const Json& json) {
  std::string bytes;
  Json::to_cbor(json, bytes);
  return bytes;
}

leaf::result<RouteTable> DecodeTable(std::string_view bytes) {
  std::vector<Error> adjusted;
  return DecodeRouteTable(bytes, adjusted);
}

bool IsUsable(const std::string& id, const std::string& bytes) {
  return !CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(DecodeEndpoint(id, bytes));
    return {};
  });
}

// Returns the valid entry with one field replaced. `path` has one or two
// levels, such as "address" or "info.slots".
Json EntryWith(std::string_view path, const Json& value) {
  Json entry = ValidEntry();
  const std::size_t dot = path.find('.');
  if (dot == std::string_view::npos) {
    entry[std::string(path)] = value;
  } else {
    entry[std::string(path.substr(0, dot))][std::string(path.substr(dot + 1))] =
        value;
  }
  return entry;
}

TEST_CASE("an entry's start time is decoded, and may be missing") {
  PublishedEndpoint endpoint;
  REQUIRE(!CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(endpoint, DecodeEndpoint("i-1", ToCbor(ValidEntry())));
    return {};
  }));
  CHECK(endpoint.spec.started_at == EndpointStart(milliseconds(1764723600123)));
  Json without_start = ValidEntry();
  without_start.erase("born");
  CHECK(IsUsable("i-1", ToCbor(without_start)));
}

TEST_CASE("an entry with a missing field is rejected") {
  for (const std::string field : {"address", "info", "status"}) {
    CAPTURE(field);
    Json entry = ValidEntry();
    entry.erase(field);
    CHECK(!IsUsable("i-1", ToCbor(entry)));
  }
  for (const std::string part : {"info", "status"}) {
    for (const auto& [field, value] : ValidEntry()[part].items()) {
      CAPTURE(field);
      Json entry = ValidEntry();
      entry[part].erase(field);
      CHECK(!IsUsable("i-1", ToCbor(entry)));
    }
  }
}

TEST_CASE("an entry with a field of a wrong type or out of range is rejected") {
  const std::vector<Json> wrong_types = {nullptr,
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
    for (const Json& it : wrong_types) {
      const bool is_text_field = path == "info.service" ||
                                 path == "info.version" || path == "info.zone";
      if (is_text_field && it.is_string()) {
        continue;
      }
      CAPTURE(path);
      CAPTURE(it.dump());
      CHECK(!IsUsable("i-1", ToCbor(EntryWith(path, it))));
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
    CHECK(!IsUsable("i-1", ToCbor(EntryWith(path, value))));
  }
}

TEST_CASE("bytes that do not encode an entry are rejected") {
  const std::string valid = ToCbor(ValidEntry());
  for (const std::string& it :
       {std::string(), std::string("{"), std::string("\xff"), valid + "x",
        valid.substr(0, valid.size() / 2), ToCbor(Json::array()), ToCbor(7),
        std::string(1U << 16U, '\x81'), std::string(1U << 16U, '\xa1')}) {
    CHECK(!IsUsable("i-1", it));
  }
}

// The id is sent in a header of each request to the endpoint. With a line break
// in the id, anyone who writes to the store could inject headers or requests.
TEST_CASE("an id that is not valid in a header is rejected") {
  const std::string valid = ToCbor(ValidEntry());
  CHECK(IsUsable("i-7f3a91c2", valid));
  for (const std::string& it :
       {std::string(), std::string("a b"), std::string("a\r\nX: y"),
        std::string("a\0b", 3), std::string("\xc3\xa9"),
        std::string(192, 'i')}) {
    CHECK(!IsUsable(it, valid));
  }
}

// Guards against rejecting callers although endpoints are available: a faulty
// writer has stored a thousand invalid entries between the valid ones, and the
// read spans several pages.
TEST_CASE("a thousand invalid entries do not affect the valid ones") {
  StandinStore store(100);
  constexpr int kValidEntries = 30;
  for (int n = 0; n < 1000; ++n) {
    store.Put("servers/x-" + std::to_string(n),
              n % 2 == 0 ? "\xff\xff" : ToCbor(EntryWith("status.state", n)));
    if (n < kValidEntries) {
      store.Put("servers/i-" + std::to_string(n), ToCbor(ValidEntry()));
    }
  }
  store.Put("servers/" + std::string(190, '\x01'), ToCbor(ValidEntry()));
  KvClient client({"127.0.0.1", store.port()});
  PublishedItems read;
  REQUIRE(!CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(read, client.ReadAll(seconds(5)));
    return {};
  }));
  const auto count = [&](auto is_kind) {
    return std::ranges::count_if(
        read.items, [&](const auto& it) { return is_kind(it.value); });
  };
  CHECK(count([](const auto& it) {
          return std::holds_alternative<PublishedEndpoint>(it);
        }) == kValidEntries);
  CHECK(count([](const auto& it) {
          return std::holds_alternative<UnusableEndpoint>(it);
        }) == 1001);
  for (const PublishedItem& it : read.items) {
    if (const auto* unusable = std::get_if<UnusableEndpoint>(&it.value)) {
      CHECK(ToString(unusable->error).size() < 512);
    }
  }
}

// For any value, decoding terminates and accepts only usable endpoints.
TEST_CASE(
    "randomly changed bytes are either rejected or decoded to valid values") {
  CHECK(rc::check("mutations", [] {
    std::string bytes = ToCbor(ValidEntry());
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
    // Also decode the same bytes as a route table and as a watch response.
    CaptureError([&]() -> leaf::result<void> {
      BOOST_LEAF_CHECK(DecodeTable(bytes));
      BOOST_LEAF_CHECK(DecodeKvEvents(bytes));
      return {};
    });
  }));
}

}  // namespace
}  // namespace damasktack
