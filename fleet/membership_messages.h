#ifndef FLEET_MEMBERSHIP_MESSAGES_H_
#define FLEET_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/json_reader.h"

namespace damasktack {

// Every message type has a kKind, a ToJson and a Parse function. Fields added
// by a newer daemon are ignored. fleet/peer_codec.h encodes the messages as
// CBOR.

struct Heartbeat {
  static constexpr std::string_view kKind = "heartbeat";

  // Revision of the host list of the sender.
  std::uint64_t hosts_revision = 0;
  // The sender has started its graceful stop.
  bool leaving = false;

  Json ToJson() const;
  static leaf::result<Heartbeat> Parse(const Json& json,
                                       const std::string& path);

  bool operator==(const Heartbeat&) const = default;
};

// Last message of a process: it has finished its work and exits.
struct Goodbye {
  static constexpr std::string_view kKind = "goodbye";

  Json ToJson() const;
  static leaf::result<Goodbye> Parse(const Json& json, const std::string& path);

  bool operator==(const Goodbye&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_MEMBERSHIP_MESSAGES_H_
