#include "fleet/peer_codec.h"

#include <utility>
#include <variant>

#include "fleet/cbor_bounds.h"

namespace damasktack {

namespace {

using Decoded = leaf::result<std::optional<PeerMessage>>;

// Tries the alternatives of PeerMessage in order, so that listing a type in
// fleet/peer_message.h is enough to register it.
template <std::size_t index = 0>
Decoded ParseKind(const std::string& kind, const Json& body) {
  if constexpr (index == std::variant_size_v<PeerMessage>) {
    return std::optional<PeerMessage>();
  } else {
    using Message = std::variant_alternative_t<index, PeerMessage>;
    if (kind != Message::kKind) {
      return ParseKind<index + 1>(kind, body);
    }
    BOOST_LEAF_AUTO(message, Message::Parse(body, kind));
    return std::optional<PeerMessage>(std::move(message));
  }
}

}  // namespace

std::string_view KindOf(const PeerMessage& message) {
  return std::visit(
      [](const auto& it) { return std::decay_t<decltype(it)>::kKind; },
      message);
}

std::string EncodePeerMessage(const PeerMessage& message) {
  const Json envelope = {
      {"v", kPeerProtocolVersion},
      {"kind", KindOf(message)},
      {"body",
       std::visit([](const auto& it) { return it.ToJson(); }, message)}};
  std::string frame;
  Json::to_cbor(envelope, frame);
  return frame;
}

Decoded DecodePeerMessage(std::string_view frame) {
  if (frame.size() > kMaxPeerFrameBytes) {
    return Fail(ErrorKind::kTooLarge, "peer frame",
                std::to_string(frame.size()) + " bytes",
                "send at most " + std::to_string(kMaxPeerFrameBytes));
  }
  BOOST_LEAF_AUTO(json, ParseCbor(frame, "peer frame", kMaxPeerFrameItems));
  std::uint64_t version = 0;
  std::string kind;
  JsonReader reader(json, "envelope");
  reader.Read("v", version);
  reader.Read("kind", kind);
  const Json* body = reader.Object("body");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  if (version > kPeerProtocolVersion) {
    return std::optional<PeerMessage>();
  }
  return ParseKind(kind, *body);
}

}  // namespace damasktack
