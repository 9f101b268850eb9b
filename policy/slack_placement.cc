#include "policy/slack_placement.h"

#include <algorithm>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Number of recent reports from which the share of good endpoints is known:
// those of two rounds of probes (2 and 6).
constexpr double kMinReports = 8;
// Capacity is short below the first share of good endpoints: with 0.31 of them,
// 19 of 20 calls find one within two rounds of probes (1 - 0.69^8 = 0.95). It
// is no longer short above the second, with which 39 of 40 do.
constexpr double kShortBelow = 0.31;
constexpr double kEnoughAbove = 0.37;
// Paces that differ by less than this factor count as equal: reports state them
// in percent of the usual execution time, and executions vary by a third.
constexpr double kSamePaceFactor = 1.1;
// Part of a call's slack for which it may wait for an endpoint. The rest is
// left for a return to another host.
constexpr int kEndpointWaitDivisor = 2;
// Part of a call's slack for which it may wait for overdue probes. The rest is
// left for further rounds and for a retry at another endpoint.
constexpr int kProbeWaitDivisor = 4;
// Calls wait at least this long for an endpoint: a list that is being replaced
// is without usable endpoints for some milliseconds.
constexpr Duration kMinEndpointWait = std::chrono::milliseconds(20);

bool IsSlower(const SlackCandidate& a, const SlackCandidate& b) {
  if (a.pace > b.pace * kSamePaceFactor || b.pace > a.pace * kSamePaceFactor) {
    return a.pace > b.pace;
  }
  if (a.is_in_other_zone != b.is_in_other_zone) {
    return a.is_in_other_zone;
  }
  return a.finish > b.finish;
}

}  // namespace

void SlackPlacement::OnProbeReport(bool is_good, TimePoint now) {
  if (!is_enabled_) {
    return;
  }
  reports_.Add(1, now);
  good_reports_.Add(is_good ? 1 : 0, now);
  const std::optional<double> share = GoodShare(now);
  is_short_ = share && *share < (is_short_ ? kEnoughAbove : kShortBelow);
}

std::optional<double> SlackPlacement::GoodShare(TimePoint now) const {
  const double reports = reports_.Value(now);
  if (reports < kMinReports) {
    return std::nullopt;
  }
  return good_reports_.Value(now) / reports;
}

bool SlackPlacement::IsShort(TimePoint now) const {
  return is_enabled_ && is_short_ && reports_.Value(now) >= kMinReports;
}

SlackPlacement::Decision SlackPlacement::Choose(
    std::span<const SlackCandidate> candidates,
    Duration least,
    const SlackCall& call) {
  const bool may_be_on_time = least <= call.until_objective;
  const SlackCandidate* chosen = nullptr;
  for (const SlackCandidate& it : candidates) {
    if (!it.has_free_slot) {
      continue;
    }
    if (may_be_on_time) {
      const bool is_on_time =
          Scaled(it.finish, call.on_time_margin) <= call.until_objective;
      if (is_on_time && (!chosen || IsSlower(it, *chosen))) {
        chosen = &it;
      }
    } else if (!it.is_good && it.finish < call.until_deadline) {
      // A slow endpoint has hardly any use for calls that are short of time.
      if (!chosen || it.finish < chosen->finish) {
        chosen = &it;
      }
    }
  }
  if (!chosen) {
    return {may_be_on_time ? Choice::kUsual : Choice::kNone, 0};
  }
  return {Choice::kCandidate,
          static_cast<std::size_t>(chosen - candidates.data())};
}

SlackWaits SlackPlacement::WaitsFor(Duration slack, Duration min_probes) {
  return {std::max(slack / kProbeWaitDivisor, min_probes),
          std::max(slack / kEndpointWaitDivisor, kMinEndpointWait)};
}

}  // namespace damasktack
