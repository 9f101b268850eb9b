#ifndef FLEET_CLAIM_MESSAGES_H_
#define FLEET_CLAIM_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"
#include "core/time.h"
#include "fleet/claim_gate.h"

namespace damasktack {

// Keys are hashed into this many buckets. Each bucket has its own replicas.
inline constexpr std::int64_t kClaimBuckets = 256;
// Claims on longer keys are refused.
inline constexpr std::size_t kMaxClaimKeyBytes = 256;

// Identifies one attempt of a host to take over a bucket, as a ballot number in
// Paxos. Later attempts have higher ballots.
struct ClaimBallot {
  std::uint64_t counter = 0;
  HostId host;
  Incarnation incarnation = 0;

  Json ToJson() const;
  static leaf::result<ClaimBallot> Parse(const Json& json,
                                         const std::string& path);

  auto operator<=>(const ClaimBallot&) const = default;
};

// The replicas of a bucket under a ballot. `secondary` equals `primary` if
// there is only one host.
struct ClaimReplicas {
  static constexpr std::string_view kKind = "claim-keepers";

  std::int64_t bucket = 0;
  ClaimBallot ballot;
  HostId primary;
  HostId secondary;

  Json ToJson() const;
  static leaf::result<ClaimReplicas> Parse(const Json& json,
                                           const std::string& path);

  bool operator==(const ClaimReplicas&) const = default;
};

// The record of one key, as stored by a replica.
struct ClaimRecord {
  CustomerId customer;
  std::string key;
  std::uint64_t request_digest = 0;
  // Identifies the claim. Chosen by the host that claims.
  std::uint64_t claim = 0;
  // The call ran or may have run, so it must not run again.
  bool ended = false;
  // Time since the claim ended.
  Duration age{};
  std::optional<StoredAnswer> answer;

  Json ToJson() const;
  static leaf::result<ClaimRecord> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const ClaimRecord&) const = default;
};

// Asks a host to promise that it will not serve the bucket under any ballot
// below `ballot`, and to hand over its records.
struct TakeoverRequest {
  static constexpr std::string_view kKind = "claim-takeover-ask";

  std::int64_t bucket = 0;
  ClaimBallot ballot;

  Json ToJson() const;
  static leaf::result<TakeoverRequest> Parse(const Json& json,
                                             const std::string& path);

  bool operator==(const TakeoverRequest&) const = default;
};

// Answers a TakeoverRequest.
struct TakeoverReply {
  static constexpr std::string_view kKind = "claim-takeover-answer";

  std::int64_t bucket = 0;
  // The ballot of the request.
  ClaimBallot ballot;
  // The highest ballot that the sender had promised before. If it is above
  // `ballot`, the takeover is refused.
  ClaimBallot promised;
  // The ballot under which the sender stored `records`; counter 0 if it has
  // none.
  ClaimBallot accepted;
  // Every host that may take over a bucket counts the sender, so the sender may
  // be a replica.
  bool counted = false;
  std::vector<ClaimRecord> records;

  Json ToJson() const;
  static leaf::result<TakeoverReply> Parse(const Json& json,
                                           const std::string& path);

  bool operator==(const TakeoverReply&) const = default;
};

// Makes the receiver the secondary replica of a bucket, with these records.
struct ReplicaInstall {
  static constexpr std::string_view kKind = "claim-install";

  ClaimReplicas replicas;
  std::vector<ClaimRecord> records;

  Json ToJson() const;
  static leaf::result<ReplicaInstall> Parse(const Json& json,
                                            const std::string& path);

  bool operator==(const ReplicaInstall&) const = default;
};

// Acknowledges a ReplicaInstall.
struct ReplicaInstalled {
  static constexpr std::string_view kKind = "claim-installed";

  std::int64_t bucket = 0;
  ClaimBallot ballot;

  Json ToJson() const;
  static leaf::result<ReplicaInstalled> Parse(const Json& json,
                                              const std::string& path);

  bool operator==(const ReplicaInstalled&) const = default;
};

// Asks one replica to grant a claim under `ballot`.
struct GrantRequest {
  static constexpr std::string_view kKind = "claim-ask";

  std::int64_t bucket = 0;
  ClaimBallot ballot;
  // Only customer, key, request_digest and claim are used.
  ClaimRecord request;

  Json ToJson() const;
  static leaf::result<GrantRequest> Parse(const Json& json,
                                          const std::string& path);

  bool operator==(const GrantRequest&) const = default;
};

// Answers a GrantRequest.
struct GrantReply {
  static constexpr std::string_view kKind = "claim-answer";

  std::int64_t bucket = 0;
  ClaimBallot ballot;
  CustomerId customer;
  std::string key;
  std::uint64_t claim = 0;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  std::optional<StoredAnswer> answer;
  // If the verdict is kUnavailable: the replicas known to the sender.
  std::optional<ClaimReplicas> replicas;

  Json ToJson() const;
  static leaf::result<GrantReply> Parse(const Json& json,
                                        const std::string& path);

  bool operator==(const GrantReply&) const = default;
};

// Tells a replica how a claim ended. Sent again until both replicas have
// acknowledged it.
struct ClaimSettle {
  static constexpr std::string_view kKind = "claim-settle";

  std::int64_t bucket = 0;
  ClaimBallot ballot;
  // `ended` is false if the call did not run; the key is then free again.
  ClaimRecord record;

  Json ToJson() const;
  static leaf::result<ClaimSettle> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const ClaimSettle&) const = default;
};

// Answers a ClaimSettle.
struct ClaimSettled {
  static constexpr std::string_view kKind = "claim-settled";

  ClaimBallot ballot;
  std::uint64_t claim = 0;
  // The sender is not a replica of the bucket under that ballot.
  bool refused = false;
  std::optional<ClaimReplicas> replicas;

  Json ToJson() const;
  static leaf::result<ClaimSettled> Parse(const Json& json,
                                          const std::string& path);

  bool operator==(const ClaimSettled&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_MESSAGES_H_
