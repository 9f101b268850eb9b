#ifndef POLICY_SAMPLING_PICKER_H_
#define POLICY_SAMPLING_PICKER_H_

#include <array>
#include <cstddef>

#include "policy/endpoint_picker.h"

namespace damasktack {

// Evaluates a random sample of the endpoints and takes the cheapest that has
// room. If none of the sample has room, takes the first endpoint with room,
// scanning from a random position.
//
// The sample bounds the time of a choice in a large service and breaks ties at
// random; in a small service it includes all endpoints. The load estimate keeps
// hosts with the same old report from all choosing the same endpoint: it
// follows own calls at once and old reports hardly at all.
class SamplingPicker {
 public:
  static constexpr std::string_view kName = "sampling";
  std::optional<EndpointIndex> Pick(const CandidateView& view, Random& random);

 private:
  // Size of the sample; small enough to evaluate within a microsecond.
  static constexpr std::size_t kSampleSize = 16;
  // Number of endpoints to scan if the sample has no room. If none of these has
  // room, the call may as well wait for the next event.
  static constexpr std::size_t kMaxScanned = 48;
  struct Sample {
    std::array<std::size_t, kSampleSize> positions{};
    std::size_t size = 0;
  };
  // Requirements for a candidate, strictest first.
  enum class Requirement { kRoom, kShare, kNothing };

  static Sample Draw(const CandidateView& view, Random& random);
  static bool Meets(const CandidateView& view,
                    std::size_t position,
                    const EndpointCandidate& candidate,
                    Requirement requirement,
                    Random& random);
  static std::optional<EndpointIndex> BestOf(const Sample& sample,
                                             const CandidateView& view,
                                             Requirement requirement,
                                             Random& random);
  static std::optional<EndpointIndex> FirstWithRoom(const CandidateView& view,
                                                    Random& random);
};

}  // namespace damasktack

#endif  // POLICY_SAMPLING_PICKER_H_
