#ifndef FLEET_RELAY_MESSAGES_H_
#define FLEET_RELAY_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"
#include "fleet/relay_host.h"

namespace damasktack {

// States which hosts take relayed calls. A host sends its own offer to the
// seeds, again after each change; seeds forward the offers of their followers
// to each other.
struct RelayOffers {
  static constexpr std::string_view kKind = "relay-offers";
  // Limits the size of a message. Services beyond the limit are left out: the
  // host would refuse a call for them, which then goes to another host.
  static constexpr std::size_t kMaxUnreachable = 64;

  struct Offer {
    RelayHost host;
    // Services whose endpoints the host cannot reach itself.
    std::vector<ServiceId> unreachable;
    // The host is no longer connected to the sender.
    bool is_withdrawn = false;

    Json ToJson() const;
    static leaf::result<Offer> Parse(const Json& json, const std::string& path);
    bool operator==(const Offer&) const = default;
  };

  std::vector<Offer> offers;

  Json ToJson() const;
  static leaf::result<RelayOffers> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const RelayOffers&) const = default;
};

// The reply of a seed to an offer: hosts to which the sender of the offer can
// relay calls, in no particular order.
struct RelayPeers {
  static constexpr std::string_view kKind = "relay-peers";

  std::vector<RelayHost> hosts;

  Json ToJson() const;
  static leaf::result<RelayPeers> Parse(const Json& json,
                                        const std::string& path);

  bool operator==(const RelayPeers&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_RELAY_MESSAGES_H_
