#ifndef FLEET_PEER_MESSAGE_H_
#define FLEET_PEER_MESSAGE_H_

#include <variant>

#include "fleet/claim_messages.h"
#include "fleet/crash_messages.h"
#include "fleet/document_messages.h"
#include "fleet/drain_messages.h"
#include "fleet/endpoint_rate_messages.h"
#include "fleet/limit_messages.h"
#include "fleet/membership_messages.h"
#include "fleet/overload/overload_messages.h"
#include "fleet/published_messages.h"
#include "fleet/relay_messages.h"

namespace damasktack {

// All messages between daemons. This is the only list of message types; each
// type is defined next to the module that sends it.
using PeerMessage = std::variant<Heartbeat,
                                 Goodbye,
                                 DocumentDigest,
                                 DocumentPush,
                                 DocumentRequest,
                                 CountRequest,
                                 CountAck,
                                 GoneHosts,
                                 LendRequest,
                                 LendGrant,
                                 LendReturn,
                                 DrainObservation,
                                 ClaimReplicas,
                                 TakeoverRequest,
                                 TakeoverReply,
                                 ReplicaInstall,
                                 ReplicaInstalled,
                                 GrantRequest,
                                 GrantReply,
                                 ClaimSettle,
                                 ClaimSettled,
                                 FeedHello,
                                 FeedUpdate,
                                 FeedPart,
                                 FeedOutage,
                                 FeedNumberAssignment,
                                 CrashReport,
                                 EndpointRateReport,
                                 RelayOffers,
                                 RelayPeers,
                                 ServiceLoadReport,
                                 ServiceLoadSum>;

}  // namespace damasktack

#endif  // FLEET_PEER_MESSAGE_H_
