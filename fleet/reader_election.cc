#include "fleet/reader_election.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace damasktack {

namespace {

struct Candidate {
  std::uint64_t score = 0;
  HostId id;
};

std::uint64_t Score(const HostId& host, const ZoneId& zone) {
  const std::string text = zone.text() + '\n' + host.text();
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::vector<HostId> ElectReaders(const HostView& view,
                                 const ZoneId& zone,
                                 std::size_t count) {
  std::vector<Candidate> candidates;
  for (const PeerView& it : view.peers) {
    if (it.zone == zone && it.reachable && it.listed == ListedState::kLive) {
      candidates.push_back({Score(it.id, zone), it.id});
    }
  }
  if (view.self_zone == zone && view.listed && !view.self_leaving) {
    candidates.push_back({Score(view.self, zone), view.self});
  }
  std::ranges::sort(candidates, [](const Candidate& a, const Candidate& b) {
    return a.score != b.score ? a.score > b.score : a.id < b.id;
  });
  std::vector<HostId> readers;
  for (const Candidate& it : candidates) {
    if (readers.size() < count) {
      readers.push_back(it.id);
    }
  }
  return readers;
}

bool IsReader(const HostView& view) {
  if (view.self_leaving) {
    return false;
  }
  if (!view.listed) {
    return true;
  }
  const std::vector<HostId> readers = ElectReaders(view, view.self_zone);
  return std::ranges::find(readers, view.self) != readers.end();
}

}  // namespace damasktack
