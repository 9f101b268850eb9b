#ifndef FLEET_CRASH_EXCHANGE_H_
#define FLEET_CRASH_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "fleet/fleet_module.h"
#include "fleet/request_quarantine.h"

namespace damasktack {

// Who hears what of crashes.
enum class CrashPeerRole : std::uint8_t {
  // Linked to all hosts, as this one is: hears what this host finds out itself.
  kPeer,
  // A seed: hears everything, and passes it on.
  kSeed,
  // Follows a seed: hears of a request once it has been at several crashes. A
  // crash has a few suspects and most of them never come again; telling each to
  // hundreds of hosts would cost the seed more than the crash.
  kFollower,
};

// Exchanges the evidence against requests that crash endpoints. Not
// thread-safe; the quarantine is.
class CrashExchange {
 public:
  // Crashes from which on followers hear of a request.
  static constexpr std::size_t kMinCrashesForFollowers = 2;

  explicit CrashExchange(RequestQuarantine& quarantine)
      : quarantine_(quarantine) {}

  // Runs when there is news to Share, on the thread that brought it.
  void SetOnUpdates(std::function<void()> on_news) {
    quarantine_.SetOnUpdates(std::move(on_news));
  }

  // A new peer hears what there is; one known in the same part, nothing.
  void OnPeer(const HostId& host,
              CrashPeerRole listener,
              TimePoint now,
              Outbox& out);
  void OnPeerGone(const HostId& host);
  void OnReport(const HostId& from,
                const CrashReport& report,
                TimePoint now,
                Outbox& out);
  // Tells the peers what this host has found out since the last call.
  void Share(TimePoint now, Outbox& out);

  // As a module of a fleet in which all hosts are linked.
  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out) { Share(now, out); }

 private:
  std::vector<HostId> Listeners(CrashPeerRole listener,
                                const HostId& but) const;
  // Tells followers, and seeds but `from`.
  void Pass(const CrashUpdates& news,
            const HostId& from,
            TimePoint now,
            Outbox& out) const;
  // What of the news followers hear, with what was held back so far.
  CrashUpdates ForFollowers(const CrashUpdates& news) const;

  RequestQuarantine& quarantine_;
  std::map<HostId, CrashPeerRole> peers_;
  // Of the reachable hosts of the last view.
  std::map<HostId, Incarnation> incarnations_;
};

}  // namespace damasktack

#endif  // FLEET_CRASH_EXCHANGE_H_
