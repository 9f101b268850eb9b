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

// Keys fall into this many buckets; each bucket has its own keepers.
inline constexpr std::int64_t kClaimBuckets = 256;
// Longer keys are refused.
inline constexpr std::size_t kMaxClaimKeyBytes = 256;

// Names one attempt to become the keeper of a bucket. Later ones are higher.
struct ClaimBallot {
  std::uint64_t counter = 0;
  HostId host;
  Incarnation incarnation = 0;

  Json ToJson() const;
  static leaf::result<ClaimBallot> Parse(const Json& json,
                                         const std::string& path);

  auto operator<=>(const ClaimBallot&) const = default;
};

// Who keeps a bucket under a ballot. `second` equals `first` on a host alone.
struct ClaimReplicas {
  static constexpr std::string_view kKind = "claim-keepers";

  std::int64_t bucket = 0;
  ClaimBallot ballot;
  HostId first;
  HostId second;

  Json ToJson() const;
  static leaf::result<ClaimReplicas> Parse(const Json& json,
                                           const std::string& path);

  bool operator==(const ClaimReplicas&) const = default;
};

// What a keeper remembers of one key.
struct ClaimRecord {
  CustomerId customer;
  std::string key;
  std::uint64_t request_digest = 0;
  // Drawn by the claimant; names this claim.
  std::uint64_t claim = 0;
  // It ran, or may have run; it never runs again.
  bool ended = false;
  // Since the end.
  Duration age{};
  std::optional<KeptAnswer> answer;

  Json ToJson() const;
  static leaf::result<ClaimRecord> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const ClaimRecord&) const = default;
};

// Asks a host to give the bucket up to `ballot`.
struct TakeoverRequest {
  static constexpr std::string_view kKind = "claim-takeover-ask";

  std::int64_t bucket = 0;
  ClaimBallot ballot;

  Json ToJson() const;
  static leaf::result<TakeoverRequest> Parse(const Json& json,
                                             const std::string& path);

  bool operator==(const TakeoverRequest&) const = default;
};

struct TakeoverReply {
  static constexpr std::string_view kKind = "claim-takeover-answer";

  std::int64_t bucket = 0;
  // Of the ask.
  ClaimBallot ballot;
  // The highest that the sender had promised before.
  ClaimBallot promised;
  // Under which the sender keeps `records`; counter 0 where it keeps none.
  ClaimBallot accepted;
  // Every host that may take a bucket over counts the sender.
  bool counted = false;
  std::vector<ClaimRecord> records;

  Json ToJson() const;
  static leaf::result<TakeoverReply> Parse(const Json& json,
                                           const std::string& path);

  bool operator==(const TakeoverReply&) const = default;
};

// Makes the receiver the second keeper.
struct ReplicaInstall {
  static constexpr std::string_view kKind = "claim-install";

  ClaimReplicas keepers;
  std::vector<ClaimRecord> records;

  Json ToJson() const;
  static leaf::result<ReplicaInstall> Parse(const Json& json,
                                            const std::string& path);

  bool operator==(const ReplicaInstall&) const = default;
};

struct ReplicaInstalled {
  static constexpr std::string_view kKind = "claim-installed";

  std::int64_t bucket = 0;
  ClaimBallot ballot;

  Json ToJson() const;
  static leaf::result<ReplicaInstalled> Parse(const Json& json,
                                              const std::string& path);

  bool operator==(const ReplicaInstalled&) const = default;
};

// Asks one keeper for its grant under `ballot`.
struct GrantRequest {
  static constexpr std::string_view kKind = "claim-ask";

  std::int64_t bucket = 0;
  ClaimBallot ballot;
  // customer, key, digest and claim count; the rest does not.
  ClaimRecord wish;

  Json ToJson() const;
  static leaf::result<GrantRequest> Parse(const Json& json,
                                          const std::string& path);

  bool operator==(const GrantRequest&) const = default;
};

struct GrantReply {
  static constexpr std::string_view kKind = "claim-answer";

  std::int64_t bucket = 0;
  ClaimBallot ballot;
  CustomerId customer;
  std::string key;
  std::uint64_t claim = 0;
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  std::optional<KeptAnswer> answer;
  // Where the verdict is kUnavailable: the keepers that the sender knows of.
  std::optional<ClaimReplicas> keepers;

  Json ToJson() const;
  static leaf::result<GrantReply> Parse(const Json& json,
                                        const std::string& path);

  bool operator==(const GrantReply&) const = default;
};

// Tells a keeper how a claim ended. Repeated until acknowledged by both.
struct ClaimSettle {
  static constexpr std::string_view kKind = "claim-settle";

  std::int64_t bucket = 0;
  ClaimBallot ballot;
  // With `ended` unset the call surely did not run and the key is free again.
  ClaimRecord record;

  Json ToJson() const;
  static leaf::result<ClaimSettle> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const ClaimSettle&) const = default;
};

struct ClaimSettled {
  static constexpr std::string_view kKind = "claim-settled";

  ClaimBallot ballot;
  std::uint64_t claim = 0;
  // The sender does not keep the bucket under that ballot.
  bool refused = false;
  std::optional<ClaimReplicas> keepers;

  Json ToJson() const;
  static leaf::result<ClaimSettled> Parse(const Json& json,
                                          const std::string& path);

  bool operator==(const ClaimSettled&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_CLAIM_MESSAGES_H_
