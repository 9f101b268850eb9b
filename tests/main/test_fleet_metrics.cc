#include "main/fleet_metrics.h"

#include <doctest/doctest.h>

#include <set>
#include <sstream>

namespace damasktack {
namespace {

bool HasLine(const std::string& page, const std::string& expected) {
  return ("\n" + page).find("\n" + expected + "\n") != std::string::npos;
}

// Renders counters with distinct values, so that a counter under the wrong name
// is detected.
std::string RenderDistinctValues() {
  TransportCounters peers;
  std::uint64_t next = 100;
  for (std::uint64_t* it :
       {&peers.links_opened, &peers.links_closed, &peers.dials_failed,
        &peers.refused_proof, &peers.refused_late, &peers.refused_full,
        &peers.malformed, &peers.refused_frames, &peers.frames_sent,
        &peers.bytes_sent, &peers.frames_received, &peers.bytes_received,
        &peers.frames_dropped}) {
    *it = next++;
  }
  FleetState state;
  state.counters = FleetCounters{200, 201, 202, 203, 204};
  state.queue_dropped = 205;
  state.document_counters =
      DocumentCounters{300, 301, 302, 303, 304, 305, 306, 307};
  state.reader = true;
  return RenderFleetMetrics(state, peers,
                            PlatformReaderCounters{400, 401, 402});
}

TEST_CASE("each counter is rendered under its own name") {
  const std::string page = RenderDistinctValues();
  for (const char* it : {"peer_links_opened_total 100",
                         "peer_links_closed_total 101",
                         "peer_dials_failed_total 102",
                         "peer_refused_total{reason=\"proof\"} 103",
                         "peer_refused_total{reason=\"late\"} 104",
                         "peer_refused_total{reason=\"full\"} 105",
                         "peer_malformed_total 106",
                         "peer_frames_refused_total 107",
                         "peer_frames_sent_total 108",
                         "peer_bytes_sent_total 109",
                         "peer_frames_received_total 110",
                         "peer_bytes_received_total 111",
                         "peer_frames_dropped_total 112",
                         "fleet_messages_received_total 200",
                         "fleet_messages_unheard_total 201",
                         "fleet_messages_ignored_total 202",
                         "fleet_messages_malformed_total 203",
                         "fleet_late_wakes_total 204",
                         "fleet_messages_dropped_total 205",
                         "documents_accepted_total 300",
                         "documents_stale_total{from=\"platform\"} 301",
                         "documents_stale_total{from=\"peers\"} 302",
                         "documents_refused_total 303",
                         "documents_conflicts_total 304",
                         "documents_digests_sent_total 305",
                         "documents_asks_sent_total 306",
                         "documents_pushes_sent_total 307",
                         "platform_reads_total 400",
                         "platform_read_failures_total 401",
                         "platform_reads_throttled_total 402",
                         "fleet_reader 1",
                         "fleet_ready 0",
                         "documents_revision{document=\"contracts\"} 0"}) {
    CAPTURE(it);
    CHECK(HasLine(page, std::string("damasktack_") + it));
  }
}

TEST_CASE("each metric has one type line above its samples") {
  std::istringstream page(RenderDistinctValues());
  std::set<std::string> typed;
  std::string current;
  for (std::string line; std::getline(page, line);) {
    CAPTURE(line);
    std::istringstream words(line);
    std::string mark;
    std::string type;
    if (line.front() == '#') {
      words >> mark >> mark >> current >> type;
      CHECK(typed.insert(current).second);
      const bool total = current.ends_with("_total");
      CHECK(type == (total ? "counter" : "gauge"));
      continue;
    }
    CHECK(line.substr(0, line.find_first_of("{ ")) == current);
  }
  CHECK(typed.size() > 20);
}

}  // namespace
}  // namespace damasktack
