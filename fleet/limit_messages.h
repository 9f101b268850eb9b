#ifndef FLEET_LIMIT_MESSAGES_H_
#define FLEET_LIMIT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

// The quantity that a customer's limit bounds. Amounts are in kLimitUnit.
enum class LimitKind : std::uint8_t {
  // Calls per second.
  kRate,
  // Concurrent calls: admitted and not yet answered.
  kInFlight,
};
inline constexpr std::size_t kLimitKindCount = 2;
std::string_view ToString(LimitKind kind);

// One call, or one call per second, in the unit of shares and leases. The unit
// is a millionth, so that rounding errors over all hosts sum to less than one
// call.
inline constexpr std::int64_t kLimitUnit = 1'000'000;

// Identifies a process of a host that is counted in the division of limits.
struct CountedHost {
  HostId host;
  // 0 if no message of the host has been received.
  Incarnation incarnation = 0;

  Json ToJson() const;
  static leaf::result<CountedHost> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const CountedHost&) const = default;
};

// Asks the receiver to count the sender in the division of limits from now on.
struct CountRequest {
  static constexpr std::string_view kKind = "count-ask";

  Json ToJson() const;
  static leaf::result<CountRequest> Parse(const Json& json,
                                          const std::string& path);

  bool operator==(const CountRequest&) const = default;
};

// Answers a CountRequest: the sender counts process `asker` of the receiver,
// and the hosts in `counted`.
struct CountAck {
  static constexpr std::string_view kKind = "count-ack";

  Incarnation asker = 0;
  // The sender owns a share, so it counts every other host that owns one.
  bool owner = false;
  std::vector<CountedHost> counted;

  Json ToJson() const;
  static leaf::result<CountAck> Parse(const Json& json,
                                      const std::string& path);

  bool operator==(const CountAck&) const = default;
};

// Lists processes that are known to have ended: they said goodbye, or an
// operator confirmed it. Incarnation 0 stands for a host that an operator knows
// to be down and that has not sent any message.
struct GoneHosts {
  static constexpr std::string_view kKind = "gone-hosts";

  std::vector<CountedHost> gone;

  Json ToJson() const;
  static leaf::result<GoneHosts> Parse(const Json& json,
                                       const std::string& path);

  bool operator==(const GoneHosts&) const = default;
};

// Requests a lease on a share of a customer's limit, or the renewal of one.
struct LendRequestItem {
  // Identifies the lease, also over renewals. Chosen by the borrower.
  std::uint64_t lease = 0;
  // 0 for the first request, incremented with each renewal.
  std::uint64_t renewal = 0;
  CustomerId customer;
  LimitKind kind = LimitKind::kRate;
  // In kLimitUnit.
  std::int64_t amount = 0;

  Json ToJson() const;
  static leaf::result<LendRequestItem> Parse(const Json& json,
                                             const std::string& path);

  bool operator==(const LendRequestItem&) const = default;
};

// Asks the receiver for leases.
struct LendRequest {
  static constexpr std::string_view kKind = "lend-ask";

  std::vector<LendRequestItem> items;

  Json ToJson() const;
  static leaf::result<LendRequest> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const LendRequest&) const = default;
};

// Answers one LendRequestItem. An amount of 0 is a refusal.
struct LendGrantItem {
  std::uint64_t lease = 0;
  std::uint64_t renewal = 0;
  CustomerId customer;
  LimitKind kind = LimitKind::kRate;
  std::int64_t amount = 0;
  // Duration of the lease, from the time at which the borrower first sent the
  // request.
  Duration lasts{};
  // Calls with a longer deadline must not be admitted on this lease.
  Duration longest_call{};

  Json ToJson() const;
  static leaf::result<LendGrantItem> Parse(const Json& json,
                                           const std::string& path);

  bool operator==(const LendGrantItem&) const = default;
};

// Answers a LendRequest, item by item.
struct LendGrant {
  static constexpr std::string_view kKind = "lend-grant";

  std::vector<LendGrantItem> items;

  Json ToJson() const;
  static leaf::result<LendGrant> Parse(const Json& json,
                                       const std::string& path);

  bool operator==(const LendGrant&) const = default;
};

// Returns leases that the sender no longer uses to their lender.
struct LendReturn {
  static constexpr std::string_view kKind = "lend-return";

  std::vector<std::uint64_t> leases;

  Json ToJson() const;
  static leaf::result<LendReturn> Parse(const Json& json,
                                        const std::string& path);

  bool operator==(const LendReturn&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_MESSAGES_H_
