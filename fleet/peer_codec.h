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
// Twice the maximum size of a document or of a value in the store, since a
// message may encode the same routes in more bytes.
inline constexpr std::size_t kMaxPeerFrameBytes = 2 * kMaxDocumentBytes + 4096;
// Maximum number of CBOR values in a frame. The routes of the largest value in
// the store take fewer.
inline constexpr std::size_t kMaxPeerFrameItems = 1 << 19;

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
