#ifndef PROXY_ANSWER_MATCHER_H_
#define PROXY_ANSWER_MATCHER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damasktack {

// A request as far as its answer is recognised by it.
struct ExpectedAnswer {
  enum class Kind : std::uint8_t {
    // A call whose answer names it.
    kNamedCall,
    // A call that has no id, to an endpoint that names calls that have one.
    kUnnamedCall,
    // A call to an endpoint that does not name calls reliably; its answer is
    // the next one on the connection.
    kNextAnswer,
    // A probe, which has no call id.
    kProbe,
  };

  Kind kind = Kind::kNextAnswer;
  // Only for kNamedCall.
  std::string call = {};
};

// The parts of an answer by which it is attributed to a request.
struct AnswerTraits {
  // Id of the call that the answer names; empty if it names none.
  std::string_view call = {};
  // Whether the answer names the endpoint, as answers to probes do.
  bool names_endpoint = false;
  bool has_load_report = false;
  // Whether the endpoint states that it did not run the request.
  bool is_refusal = false;
  // Whether the request was addressed to another endpoint. Never the answer to
  // a probe, which is addressed to no endpoint.
  bool is_misdirected = false;
};

enum class AnswerMatch : std::uint8_t {
  // The answer to the outstanding request.
  kOwn,
  // The answer to another request; the outstanding one may follow.
  kOther,
  // Cannot be attributed. The connection must not be used any longer.
  kUnattributable,
};

inline constexpr std::size_t kAnswerMatchCount = 3;

// Returns the name used in logs and metrics.
std::string_view ToString(AnswerMatch match);

// Matches the answers received on one connection to the requests written on it,
// of which at most one is outstanding at a time. Besides the answer to each
// request, an endpoint may send further copies of any answer at any later time.
class AnswerMatcher {
 public:
  // Records a request that is about to be written.
  void Expect(ExpectedAnswer expected);
  AnswerMatch Match(const AnswerTraits& answer);

  // Whether every answer so far was attributed beyond doubt and will be
  // recognised if it is repeated. Only then is a refusal that names no call
  // certainly the answer to the next request.
  bool is_certain() const { return is_certain_; }
  // Whether no answer is outstanding.
  bool is_settled() const { return !expected_; }
  // Whether a recent request on this connection had this call id, so that a
  // copy of its answer would look like the answer to the next one.
  bool HasCarried(std::string_view call) const;

 private:
  // More than the answers by which a copy can be late: a copy arrives with one
  // of the next answers of its connection.
  static constexpr std::size_t kRememberedCalls = 64;

  AnswerMatch MatchProbe(const AnswerTraits& answer);
  AnswerMatch MatchCall(const AnswerTraits& answer);
  AnswerMatch Settle(bool certain);

  std::optional<ExpectedAnswer> expected_;
  bool is_certain_ = true;
  // Hashes of the ids of the last calls; zero means none.
  std::array<std::size_t, kRememberedCalls> carried_{};
  std::size_t next_carried_ = 0;
};

}  // namespace damasktack

#endif  // PROXY_ANSWER_MATCHER_H_
