#ifndef FLEET_PEER_CODEC_H_
#define FLEET_PEER_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "contract/document.h"
#include "core/error.h"
#include "fleet/peer_message.h"

namespace damasktack {

// Only increased if an older daemon would misinterpret a message. New fields
// and kinds need no new version because unknown ones are ignored.
inline constexpr std::uint64_t kPeerProtocolVersion = 1;
// The maximum document size plus its envelope.
inline constexpr std::size_t kMaxPeerFrameBytes = kMaxDocumentBytes + 4096;

// Encodes a message as one frame: a CBOR map {v: version, kind: string, body:
// map}.
std::string EncodePeerMessage(const PeerMessage& message);

// Decodes a frame. Returns null if the kind is unknown or the version is newer;
// such a message must be ignored. Errors for malformed frames: kProtocol,
// kTooLarge, or the kinds of core/json_reader.h for a missing or wrong member.
leaf::result<std::optional<PeerMessage>> DecodePeerMessage(
    std::string_view frame);

// Returns the kind under which a message is sent.
std::string_view KindOf(const PeerMessage& message);

}  // namespace damasktack

#endif  // FLEET_PEER_CODEC_H_
