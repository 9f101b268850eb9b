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
#include "fleet/published_messages.h"

namespace damasktack {

// Everything one daemon says to another. The one place that lists the kinds;
// each is defined beside the module that speaks it.
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
                                 EndpointRateReport>;

}  // namespace damasktack

#endif  // FLEET_PEER_MESSAGE_H_
