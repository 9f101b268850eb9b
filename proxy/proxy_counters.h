#ifndef PROXY_PROXY_COUNTERS_H_
#define PROXY_PROXY_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "proxy/answer_matcher.h"
#include "proxy/failure.h"
#include "proxy/relay_peer_picker.h"

namespace damasktack {

// How a call with two sends in flight ended.
enum class HedgeEnd : std::uint8_t {
  // The second send was answered first.
  kWon,
  // The first send was answered first.
  kLost,
  // Neither was answered.
  kFailed,
};
inline constexpr std::size_t kHedgeEndCount = 3;

// Counters for the caller side of one daemon. Thread-safe.
class ProxyCounters {
 public:
  void CountFailure(FailureKind kind) {
    ++failures_[static_cast<std::size_t>(kind)];
  }
  std::uint64_t failures(FailureKind kind) const {
    return failures_[static_cast<std::size_t>(kind)];
  }

  // Counts a call that is sent to an endpoint considered cold.
  void CountColdSend() { ++cold_sends_; }

  // Counts a call with two sends in flight.
  void CountHedge(HedgeEnd end) { ++hedges_[static_cast<std::size_t>(end)]; }
  std::uint64_t hedges(HedgeEnd end) const {
    return hedges_[static_cast<std::size_t>(end)];
  }
  void CountLosingSendCancelled() { ++losing_sends_cancelled_; }
  std::uint64_t losing_sends_cancelled() const {
    return losing_sends_cancelled_;
  }

  // Counts an endpoint's answer that was not taken for the request's own.
  void CountStrayAnswer(AnswerMatch match) {
    ++stray_answers_[static_cast<std::size_t>(match)];
  }
  std::uint64_t stray_answers(AnswerMatch match) const {
    return stray_answers_[static_cast<std::size_t>(match)];
  }

  // Counts a call that was offered to a peer.
  void CountRelay(RelayEnd end) { ++relays_[static_cast<std::size_t>(end)]; }
  // Counts a call that a peer relayed to this host.
  void CountRelayTaken() { ++relays_taken_; }
  // Relayed calls of peers that this host works on.
  std::atomic<std::int64_t>& relayed_in_flight() { return relayed_in_flight_; }

  std::atomic<std::int64_t>& connections() { return connections_; }
  std::atomic<std::int64_t>& calls_in_flight() { return calls_in_flight_; }
  std::int64_t calls_in_flight() const { return calls_in_flight_; }

  // Returns all counters in the Prometheus text format.
  std::string Render(bool stopping) const;

 private:
  std::array<std::atomic<std::uint64_t>, kFailureKindCount> failures_{};
  std::atomic<std::uint64_t> cold_sends_ = 0;
  std::array<std::atomic<std::uint64_t>, kHedgeEndCount> hedges_{};
  std::atomic<std::uint64_t> losing_sends_cancelled_ = 0;
  std::array<std::atomic<std::uint64_t>, kAnswerMatchCount> stray_answers_{};
  std::array<std::atomic<std::uint64_t>, kRelayEndCount> relays_{};
  std::atomic<std::uint64_t> relays_taken_ = 0;
  std::atomic<std::int64_t> relayed_in_flight_ = 0;
  std::atomic<std::int64_t> connections_ = 0;
  std::atomic<std::int64_t> calls_in_flight_ = 0;
};

}  // namespace damasktack

#endif  // PROXY_PROXY_COUNTERS_H_
