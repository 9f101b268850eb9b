#include "fleet/limit_messages.h"

#include <doctest/doctest.h>

#include "fleet/peer_codec.h"

namespace damasktack {

TEST_CASE("limit messages come back as they were sent") {
  const LendGrantItem grant{
      ~std::uint64_t{0},      2,         CustomerId("parks"),
      LimitKind::kInFlight,   1'500'000, std::chrono::seconds(2),
      std::chrono::minutes(1)};
  const CountedHost host{HostId("h1"), ~std::uint64_t{0}};
  const std::vector<PeerMessage> sent{
      CountRequest{},
      CountAck{7, true, {host, {HostId("h2"), 0}}},
      GoneHosts{{host}},
      LendRequest{{{1, 0, CustomerId("parks"), LimitKind::kRate, 12}}},
      LendGrant{{grant}},
      LendReturn{{1, ~std::uint64_t{0}}}};
  for (const PeerMessage& it : sent) {
    const auto got =
        Try([&] { return DecodePeerMessage(EncodePeerMessage(it)); },
            [](const Error&) { return std::optional<PeerMessage>(); });
    REQUIRE(got);
    CHECK(*got == it);
  }
}

}  // namespace damasktack
