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

// Raised only where an older daemon would misread a message; a new field or a
// new kind needs no new version, because both are ignored where not known.
inline constexpr std::uint64_t kPeerProtocolVersion = 1;
// The largest document and its envelope.
inline constexpr std::size_t kMaxPeerFrameBytes = kMaxDocumentBytes + 4096;

// One frame: a CBOR map {v: version, kind: string, body: map}.
std::string EncodePeerMessage(const PeerMessage& message);

// Null where the kind is not known here or the version is newer: the message
// is then ignored. Malformed bytes are errors: kProtocol, kTooLarge, or the
// kinds of core/json_reader.h for a member that is missing or wrong.
leaf::result<std::optional<PeerMessage>> DecodePeerMessage(
    std::string_view frame);

// The kind that a message travels under.
std::string_view KindOf(const PeerMessage& message);

}  // namespace damasktack

#endif  // FLEET_PEER_CODEC_H_
