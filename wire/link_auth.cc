#include "wire/link_auth.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>

#include "wire/hmac.h"

namespace damasktack {

namespace {

// Identifies the protocol; the next byte is the version of the greeting.
constexpr std::string_view kMagic = "damasktack";
constexpr char kGreetingVersion = 1;
constexpr unsigned kByteBits = 8;

std::string EncodeNumber(std::uint64_t number) {
  std::string bytes(sizeof(number), '\0');
  for (auto it = bytes.rbegin(); it != bytes.rend(); ++it) {
    *it = static_cast<char>(number);
    number >>= kByteBits;
  }
  return bytes;
}

std::uint64_t DecodeNumber(std::string_view bytes) {
  std::uint64_t number = 0;
  for (const char it : bytes) {
    number = (number << kByteBits) | static_cast<std::uint8_t>(it);
  }
  return number;
}

// Moves the first `n` bytes of `bytes` to `out`. Returns false and changes
// nothing if there are fewer.
bool TakeFront(std::string_view& bytes, std::size_t n, std::string_view& out) {
  if (bytes.size() < n) {
    return false;
  }
  out = bytes.substr(0, n);
  bytes.remove_prefix(n);
  return true;
}

}  // namespace

std::string GenerateNonce() {
  std::array<unsigned char, kNonceBytes> bytes{};
  if (RAND_bytes(bytes.data(), kNonceBytes) != 1) {
    // A predictable nonce would allow replay attacks, so a host whose system
    // provides no random bytes must not serve.
    std::abort();
  }
  return std::string(bytes.begin(), bytes.end());
}

std::string EncodeGreeting(const LinkGreeting& greeting) {
  std::string bytes(kMagic);
  bytes += kGreetingVersion;
  bytes += EncodeNumber(greeting.incarnation);
  bytes += greeting.nonce;
  bytes += static_cast<char>(greeting.host.size());
  bytes += greeting.host;
  return bytes;
}

std::optional<LinkGreeting> DecodeGreeting(std::string_view bytes) {
  std::string_view magic;
  std::string_view version;
  std::string_view incarnation;
  std::string_view nonce;
  std::string_view size;
  std::string_view host;
  if (!TakeFront(bytes, kMagic.size(), magic) || magic != kMagic ||
      !TakeFront(bytes, 1, version) ||
      !TakeFront(bytes, sizeof(std::uint64_t), incarnation) ||
      !TakeFront(bytes, kNonceBytes, nonce) || !TakeFront(bytes, 1, size)) {
    return std::nullopt;
  }
  const std::size_t n = static_cast<std::uint8_t>(size.front());
  if (n == 0 || n > kMaxHostNameLength || !TakeFront(bytes, n, host)) {
    return std::nullopt;
  }
  return LinkGreeting{std::string(host), DecodeNumber(incarnation),
                      std::string(nonce)};
}

LinkSecrets::LinkSecrets(std::string_view fleet_key,
                         std::string_view dialer_greeting,
                         std::string_view acceptor_greeting) {
  std::string transcript = EncodeNumber(dialer_greeting.size());
  transcript += dialer_greeting;
  transcript += EncodeNumber(acceptor_greeting.size());
  transcript += acceptor_greeting;
  link_key_ = HmacSha256(fleet_key, transcript);
}

std::string LinkSecrets::Derive(std::string_view label) const {
  return HmacSha256(link_key_, label);
}

bool ConstantTimeEquals(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string FrameAuthenticator::TagFor(std::string_view payload) const {
  std::string text = EncodeNumber(next_);
  text += payload;
  return HmacSha256(key_, text).substr(0, kFrameTagBytes);
}

std::string FrameAuthenticator::Seal(std::string_view payload) {
  std::string frame = TagFor(payload);
  frame += payload;
  ++next_;
  return frame;
}

std::optional<std::string> FrameAuthenticator::Open(std::string_view frame) {
  std::string_view tag;
  if (!TakeFront(frame, kFrameTagBytes, tag) ||
      !ConstantTimeEquals(tag, TagFor(frame))) {
    return std::nullopt;
  }
  ++next_;
  return std::string(frame);
}

}  // namespace damasktack
