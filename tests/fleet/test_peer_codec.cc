#include "fleet/peer_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fleet/cbor_bounds.h"

namespace damasktack {
namespace {

enum class Outcome { kMessage, kIgnored, kRejected };

Outcome Decode(std::string_view frame, PeerMessage* out = nullptr) {
  return Try(
      [&]() -> leaf::result<Outcome> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(frame));
        if (!message) {
          return Outcome::kIgnored;
        }
        if (out != nullptr) {
          *out = *message;
        }
        return Outcome::kMessage;
      },
      [](const Error&) { return Outcome::kRejected; });
}

std::string Cbor(const Json& json) {
  std::string frame;
  Json::to_cbor(json, frame);
  return frame;
}

PeerMessage AnyMessage() {
  const auto name =
      static_cast<DocumentName>(*rc::gen::inRange<int>(0, kDocumentCount));
  const auto number = *rc::gen::arbitrary<std::uint64_t>();
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return Heartbeat{number, *rc::gen::arbitrary<bool>()};
    case 1:
      return Goodbye{};
    case 2:
      return DocumentDigest{{DocumentVersion{number, 7}, {}, {number / 2, 1}},
                            *rc::gen::arbitrary<bool>()};
    case 3:
      // Documents are never empty, and an empty text is rejected.
      return DocumentPush{Document{
          name, number, *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>())}};
    case 4:
      return DrainObservation{
          ServiceId(*rc::gen::nonEmpty(rc::gen::arbitrary<std::string>())),
          EndpointId("e1")};
    case 5:
      return FeedHello{*rc::gen::inRange<std::int64_t>(0, 100),
                       SocketAddress{"10.0.0.1", 80},
                       number,
                       4,
                       {*rc::gen::inRange<std::int64_t>(-1, 64), 64}};
    case 6:
      return FeedNumberAssignment{{*rc::gen::inRange<std::int64_t>(0, 64), 64}};
    default:
      return DocumentRequest{name, {number, number / 3}};
  }
}

TEST_CASE("every message is unchanged after encoding and decoding") {
  CHECK(rc::check([] {
    const PeerMessage sent = AnyMessage();
    PeerMessage received;
    RC_ASSERT(Decode(EncodePeerMessage(sent), &received) == Outcome::kMessage);
    RC_ASSERT(received == sent);
  }));
}

TEST_CASE("the largest document fits into a frame") {
  const DocumentPush push{Document{DocumentName::kServices, ~Revision{0},
                                   std::string(kMaxDocumentBytes, 'x')}};
  const std::string frame = EncodePeerMessage(push);
  CHECK(frame.size() <= kMaxPeerFrameBytes);
  CHECK(Decode(frame) == Outcome::kMessage);
}

TEST_CASE("unknown fields, kinds and versions are ignored") {
  const Json body = {{"hosts_revision", 7}, {"colour", "blue"}};
  CHECK(Decode(Cbor({{"v", 1}, {"kind", "heartbeat"}, {"body", body}})) ==
        Outcome::kMessage);
  CHECK(Decode(Cbor({{"v", 1}, {"kind", "unheard"}, {"body", body}})) ==
        Outcome::kIgnored);
  CHECK(Decode(Cbor({{"v", 2}, {"kind", "heartbeat"}, {"body", body}})) ==
        Outcome::kIgnored);
}

TEST_CASE("a missing member or one of a wrong type is rejected") {
  CHECK(Decode(Cbor({{"v", 1},
                     {"kind", "heartbeat"},
                     {"body", {{"hosts_revision", "seven"}}}})) ==
        Outcome::kRejected);
  CHECK(Decode(Cbor({{"kind", "goodbye"}, {"body", Json::object()}})) ==
        Outcome::kRejected);
  CHECK(Decode(Cbor(Json::array())) == Outcome::kRejected);
  CHECK(Decode("") == Outcome::kRejected);
}

// Guards against a crash caused by a defective sender that holds the fleet key:
// a frame of nested values, or of strings of indefinite length, as deep as the
// frame is long. The decoder recurses once per level, and the stack overflow
// would end the daemon and all requests in flight on that host.
TEST_CASE("deep nesting does not crash the process") {
  for (const char byte : {'\x7f', '\x5f', '\x81', '\x9f', '\xa1', '\xc1'}) {
    const std::string frame(kMaxDocumentBytes, byte);
    CHECK(Decode(frame) == Outcome::kRejected);
  }
}

TEST_CASE("a length beyond the end is rejected before any allocation") {
  for (const char byte : {'\x5b', '\x7b', '\x9b', '\xbb'}) {
    std::string frame(1, byte);
    frame += std::string(8, '\x7f');
    CHECK(Decode(frame) == Outcome::kRejected);
  }
  const Json many(std::vector<int>(kMaxPeerFrameItems + 1, 1));
  CHECK(Decode(Cbor(many)) == Outcome::kRejected);
}

TEST_CASE("random bytes never crash the process") {
  CHECK(rc::check([](const std::string& frame) { Decode(frame); }));
}

TEST_CASE("a corrupted message never crashes the process") {
  CHECK(rc::check([] {
    std::string frame = EncodePeerMessage(AnyMessage());
    const int changes = *rc::gen::inRange(1, 8);
    for (int n = 0; n < changes; ++n) {
      const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
      frame[at] = *rc::gen::arbitrary<char>();
    }
    const auto length = *rc::gen::inRange<std::size_t>(0, frame.size() + 1);
    Decode(std::string_view(frame).substr(0, length));
  }));
}

}  // namespace
}  // namespace damasktack
