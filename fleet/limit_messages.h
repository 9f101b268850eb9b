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

// What a customer's limit bounds. Both are counted in kLimitUnit.
enum class LimitKind : std::uint8_t {
  // Calls a second.
  kRate,
  // Calls admitted and not yet answered.
  kInFlight,
};
inline constexpr std::size_t kLimitKindCount = 2;
std::string_view ToString(LimitKind kind);

// One call, or one call a second, in the unit of parts and leases: millionths,
// so that rounding over all hosts stays below one call.
inline constexpr std::int64_t kLimitUnit = 1'000'000;

// One process of one host, as it counts in the division of a limit.
struct CountedHost {
  HostId host;
  // 0 where the process has not been heard.
  Incarnation incarnation = 0;

  Json ToJson() const;
  static leaf::result<CountedHost> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const CountedHost&) const = default;
};

// Asks the receiver to count the sender in every division from now on.
struct CountRequest {
  static constexpr std::string_view kKind = "count-ask";

  Json ToJson() const;
  static leaf::result<CountRequest> Parse(const Json& json,
                                          const std::string& path);

  bool operator==(const CountRequest&) const = default;
};

// The sender counts process `asker` of the receiver, and these hosts too.
struct CountAck {
  static constexpr std::string_view kKind = "count-ack";

  Incarnation asker = 0;
  // The sender owns a part, so it counts every other host that owns one.
  bool owner = false;
  std::vector<CountedHost> counted;

  Json ToJson() const;
  static leaf::result<CountAck> Parse(const Json& json,
                                      const std::string& path);

  bool operator==(const CountAck&) const = default;
};

// Processes that are proved to have ended. Incarnation 0 stands for a host
// that an operator knows to be down and that nobody has heard.
struct GoneHosts {
  static constexpr std::string_view kKind = "gone-hosts";

  std::vector<CountedHost> gone;

  Json ToJson() const;
  static leaf::result<GoneHosts> Parse(const Json& json,
                                       const std::string& path);

  bool operator==(const GoneHosts&) const = default;
};

// One wish to borrow, or to renew, a part of a customer's limit.
struct LendRequestItem {
  // Drawn by the borrower; names the lease for its whole life.
  std::uint64_t lease = 0;
  // 0 for the first ask, then one more for each renewal.
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

struct LendRequest {
  static constexpr std::string_view kKind = "lend-ask";

  std::vector<LendRequestItem> items;

  Json ToJson() const;
  static leaf::result<LendRequest> Parse(const Json& json,
                                         const std::string& path);

  bool operator==(const LendRequest&) const = default;
};

// The answer to one LendRequestItem. An amount of 0 lends nothing.
struct LendGrantItem {
  std::uint64_t lease = 0;
  std::uint64_t renewal = 0;
  CustomerId customer;
  LimitKind kind = LimitKind::kRate;
  std::int64_t amount = 0;
  // How long the lease lasts, counted by the borrower from before it asked.
  Duration lasts{};
  // Calls that may last longer must not be admitted on this lease.
  Duration longest_call{};

  Json ToJson() const;
  static leaf::result<LendGrantItem> Parse(const Json& json,
                                           const std::string& path);

  bool operator==(const LendGrantItem&) const = default;
};

struct LendGrant {
  static constexpr std::string_view kKind = "lend-grant";

  std::vector<LendGrantItem> items;

  Json ToJson() const;
  static leaf::result<LendGrant> Parse(const Json& json,
                                       const std::string& path);

  bool operator==(const LendGrant&) const = default;
};

// The sender has stopped using these leases for good.
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
