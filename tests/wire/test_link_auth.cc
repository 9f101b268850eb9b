#include "wire/link_auth.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace damasktack {
namespace {

TEST_CASE("a greeting with trailing bytes of a newer version is decoded") {
  const LinkGreeting greeting{"h1", ~std::uint64_t{0}, GenerateNonce()};
  const auto got = DecodeGreeting(EncodeGreeting(greeting) + "newer");
  REQUIRE(got);
  CHECK(got->host == "h1");
  CHECK(got->incarnation == greeting.incarnation);
  CHECK(got->nonce == greeting.nonce);
}

TEST_CASE("bytes that are not a greeting are refused") {
  CHECK(rc::check([](const std::string& bytes) { DecodeGreeting(bytes); }));
  const std::string whole = EncodeGreeting({"host", 1, GenerateNonce()});
  for (std::size_t n = 0; n < whole.size(); ++n) {
    CHECK_FALSE(DecodeGreeting(whole.substr(0, n)));
  }
}

TEST_CASE("proofs differ by key, by link and by role") {
  const std::string one = EncodeGreeting({"a", 1, GenerateNonce()});
  const std::string two = EncodeGreeting({"b", 2, GenerateNonce()});
  const std::string later = EncodeGreeting({"b", 2, GenerateNonce()});
  const LinkSecrets secrets("key", one, two);
  CHECK(ConstantTimeEquals(secrets.DialerProof(),
                           LinkSecrets("key", one, two).DialerProof()));
  CHECK(secrets.DialerProof() != LinkSecrets("yek", one, two).DialerProof());
  CHECK(secrets.DialerProof() != LinkSecrets("key", one, later).DialerProof());
  CHECK(secrets.DialerProof() != LinkSecrets("key", two, one).DialerProof());
  CHECK(secrets.DialerProof() != secrets.AcceptorProof());
  CHECK(secrets.DialerFrameKey() != secrets.AcceptorFrameKey());
}

TEST_CASE("a frame is accepted once, in order, and unchanged") {
  FrameAuthenticator sealer("key");
  const std::string first = sealer.Seal("one");
  const std::string second = sealer.Seal("two");
  FrameAuthenticator opener("key");
  CHECK_FALSE(opener.Open(second));
  CHECK(opener.Open(first) == "one");
  CHECK_FALSE(opener.Open(first));
  std::string changed = second;
  changed.back() ^= 1;
  CHECK_FALSE(opener.Open(changed));
  CHECK(opener.Open(second) == "two");
  CHECK_FALSE(opener.Open("short"));
}

}  // namespace
}  // namespace damasktack
