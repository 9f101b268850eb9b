#ifndef WIRE_LINK_AUTH_H_
#define WIRE_LINK_AUTH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damasktack {

inline constexpr std::size_t kNonceBytes = 16;
inline constexpr std::size_t kFrameTagBytes = 16;
inline constexpr std::size_t kMaxHostNameLength = 128;
// Maximum message size before a peer is authenticated; larger than any greeting
// or proof.
inline constexpr std::size_t kMaxGreetingBytes = 512;

// The first message of each side of a new link, sent unencrypted. The nonce is
// unique to the link.
struct LinkGreeting {
  std::string host;
  std::uint64_t incarnation = 0;
  std::string nonce;
};

std::string GenerateNonce();
std::string EncodeGreeting(const LinkGreeting& greeting);
// Returns null if the bytes are not a greeting. Trailing bytes from newer
// versions are ignored here, but the proofs cover them.
std::optional<LinkGreeting> DecodeGreeting(std::string_view bytes);

// The secrets of one link, derived by HMAC-SHA256 from the fleet's key and the
// bytes of both greetings. The greetings contain both nonces, so that messages
// recorded on another link are not valid here (replay). Each role has its own
// labels, so that a side's proof cannot be sent back to it (reflection).
class LinkSecrets {
 public:
  LinkSecrets(std::string_view fleet_key,
              std::string_view dialer_greeting,
              std::string_view acceptor_greeting);

  std::string DialerProof() const { return Derive("dialer proof"); }
  std::string AcceptorProof() const { return Derive("acceptor proof"); }
  std::string DialerFrameKey() const { return Derive("dialer frames"); }
  std::string AcceptorFrameKey() const { return Derive("acceptor frames"); }

 private:
  std::string Derive(std::string_view label) const;

  std::string link_key_;
};

// Compares in constant time, so that timing does not reveal how many bytes
// match.
bool ConstantTimeEquals(std::string_view left, std::string_view right);

// Authenticates the frames of one direction of a link. A frame is a tag
// followed by the payload. The tag covers a sequence number that both sides
// count, so that repeated, dropped or reordered frames are rejected.
class FrameAuthenticator {
 public:
  explicit FrameAuthenticator(std::string key) : key_(std::move(key)) {}

  std::string Seal(std::string_view payload);
  // Returns the payload, or null if the tag does not match the next sequence
  // number.
  std::optional<std::string> Open(std::string_view frame);

 private:
  std::string TagFor(std::string_view payload) const;

  std::string key_;
  std::uint64_t next_ = 0;
};

}  // namespace damasktack

#endif  // WIRE_LINK_AUTH_H_
