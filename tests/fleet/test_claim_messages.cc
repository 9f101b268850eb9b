#include "fleet/claim_messages.h"

#include <doctest/doctest.h>

#include "fleet/peer_codec.h"

namespace damasktack {

TEST_CASE("claim messages are decoded as they were encoded") {
  const ClaimBallot ballot{~std::uint64_t{0}, HostId("h1"), 7};
  const ClaimReplicas replicas{255, ballot, HostId("h1"), HostId("h2")};
  // A key and a body may hold bytes that are not valid UTF-8.
  const ClaimRecord record{CustomerId("parks"),
                           "key-\xff",
                           ~std::uint64_t{0},
                           9,
                           true,
                           std::chrono::seconds(2),
                           StoredAnswer{200, "", "\xff body"}};
  const std::vector<PeerMessage> sent{
      replicas,
      TakeoverRequest{3, ballot},
      TakeoverReply{3, ballot, {}, ballot, true, {record}},
      ReplicaInstall{replicas, {record}},
      ReplicaInstalled{3, ballot},
      GrantRequest{3, {}, record},
      GrantReply{3, ballot, CustomerId("parks"), "key", 9,
                 ClaimVerdict::kAlreadyRan, record.answer, replicas},
      ClaimSettle{3, ballot, record},
      ClaimSettled{ballot, 9, true, replicas}};
  for (const PeerMessage& it : sent) {
    CAPTURE(KindOf(it));
    const auto got =
        Try([&] { return DecodePeerMessage(EncodePeerMessage(it)); },
            [](const Error& error) {
              MESSAGE(ToString(error));
              return std::optional<PeerMessage>();
            });
    REQUIRE(got);
    CHECK(*got == it);
  }
}

// Guards against a peer's word for an answer that no caller may get.
TEST_CASE("a kept answer whose status is none is refused") {
  for (const int status : {0, 99, 100, 199, 600}) {
    CAPTURE(status);
    const ClaimRecord record{CustomerId("parks"),
                             "key",
                             1,
                             9,
                             true,
                             std::chrono::seconds(2),
                             StoredAnswer{status, "", "body"}};
    const bool is_decoded = Try(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(DecodePeerMessage(
              EncodePeerMessage(ClaimSettle{3, ClaimBallot{}, record})));
          return true;
        },
        [](const Error&) { return false; });
    CHECK(!is_decoded);
  }
}

}  // namespace damasktack
