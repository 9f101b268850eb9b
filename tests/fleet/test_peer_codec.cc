#include "fleet/peer_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fleet/cbor_bounds.h"

namespace damasktack {
namespace {

enum class Verdict { kMessage, kIgnored, kRefused };

Verdict Decode(std::string_view frame, PeerMessage* out = nullptr) {
  return Try(
      [&]() -> leaf::result<Verdict> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(frame));
        if (!message) {
          return Verdict::kIgnored;
        }
        if (out != nullptr) {
          *out = *message;
        }
        return Verdict::kMessage;
      },
      [](const Error&) { return Verdict::kRefused; });
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
      // No document is empty, and an empty text is refused.
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

TEST_CASE("every message comes back as it was sent") {
  CHECK(rc::check([] {
    const PeerMessage sent = AnyMessage();
    PeerMessage got;
    RC_ASSERT(Decode(EncodePeerMessage(sent), &got) == Verdict::kMessage);
    RC_ASSERT(got == sent);
  }));
}

TEST_CASE("the largest document fits into a frame") {
  const DocumentPush push{Document{DocumentName::kServices, ~Revision{0},
                                   std::string(kMaxDocumentBytes, 'x')}};
  const std::string frame = EncodePeerMessage(push);
  CHECK(frame.size() <= kMaxPeerFrameBytes);
  CHECK(Decode(frame) == Verdict::kMessage);
}

TEST_CASE("a newer daemon's fields, kinds and version are ignored") {
  const Json body = {{"hosts_revision", 7}, {"colour", "blue"}};
  CHECK(Decode(Cbor({{"v", 1}, {"kind", "heartbeat"}, {"body", body}})) ==
        Verdict::kMessage);
  CHECK(Decode(Cbor({{"v", 1}, {"kind", "unheard"}, {"body", body}})) ==
        Verdict::kIgnored);
  CHECK(Decode(Cbor({{"v", 2}, {"kind", "heartbeat"}, {"body", body}})) ==
        Verdict::kIgnored);
}

TEST_CASE("a member that is missing or of the wrong type is refused") {
  CHECK(Decode(Cbor({{"v", 1},
                     {"kind", "heartbeat"},
                     {"body", {{"hosts_revision", "seven"}}}})) ==
        Verdict::kRefused);
  CHECK(Decode(Cbor({{"kind", "goodbye"}, {"body", Json::object()}})) ==
        Verdict::kRefused);
  CHECK(Decode(Cbor(Json::array())) == Verdict::kRefused);
  CHECK(Decode("") == Verdict::kRefused);
}

// A sender with the fleet's key but a defect sends a frame of nested values,
// or of strings of unknown length, as deep as the frame is long. The decoder
// of the library recurses once for each; the daemon would end by overflow of
// its stack, and with it every call in flight on that host.
TEST_CASE("nesting does not end the process") {
  for (const char byte : {'\x7f', '\x5f', '\x81', '\x9f', '\xa1', '\xc1'}) {
    const std::string frame(kMaxDocumentBytes, byte);
    CHECK(Decode(frame) == Verdict::kRefused);
  }
}

TEST_CASE("a length beyond the end allocates nothing") {
  for (const char byte : {'\x5b', '\x7b', '\x9b', '\xbb'}) {
    std::string frame(1, byte);
    frame += std::string(8, '\x7f');
    CHECK(Decode(frame) == Verdict::kRefused);
  }
  const Json many(std::vector<int>(kMostCborItems + 1, 1));
  CHECK(Decode(Cbor(many)) == Verdict::kRefused);
}

TEST_CASE("random bytes never end the process") {
  CHECK(rc::check([](const std::string& frame) { Decode(frame); }));
}

TEST_CASE("a message with some bytes changed never ends the process") {
  CHECK(rc::check([] {
    std::string frame = EncodePeerMessage(AnyMessage());
    const int changes = *rc::gen::inRange(1, 8);
    for (int n = 0; n < changes; ++n) {
      const auto at = *rc::gen::inRange<std::size_t>(0, frame.size());
      frame[at] = *rc::gen::arbitrary<char>();
    }
    const auto kept = *rc::gen::inRange<std::size_t>(0, frame.size() + 1);
    Decode(std::string_view(frame).substr(0, kept));
  }));
}

}  // namespace
}  // namespace damasktack
