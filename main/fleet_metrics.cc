#include "main/fleet_metrics.h"

#include <span>
#include <sstream>
#include <string_view>

namespace damasktack {

namespace {

// One sample; `label` is empty or `{name="value"}`.
struct Sample {
  std::string_view name;
  std::string_view label;
  std::uint64_t value;
};

// Writes samples with one TYPE line per metric; samples of the same metric must
// be consecutive.
void Render(std::string_view type,
            std::span<const Sample> samples,
            std::ostream& out) {
  std::string_view last;
  for (const Sample& it : samples) {
    if (it.name != last) {
      out << "# TYPE damasktack_" << it.name << " " << type << "\n";
    }
    out << "damasktack_" << it.name << it.label << " " << it.value << "\n";
    last = it.name;
  }
}

void RenderPeers(const TransportCounters& peers, std::ostream& out) {
  const Sample samples[] = {
      {"peer_links_opened_total", "", peers.links_opened},
      {"peer_links_closed_total", "", peers.links_closed},
      {"peer_dials_failed_total", "", peers.dials_failed},
      {"peer_refused_total", R"({reason="proof"})", peers.refused_proof},
      {"peer_refused_total", R"({reason="late"})", peers.refused_late},
      {"peer_refused_total", R"({reason="full"})", peers.refused_full},
      {"peer_malformed_total", "", peers.malformed},
      {"peer_frames_refused_total", "", peers.refused_frames},
      {"peer_frames_sent_total", "", peers.frames_sent},
      {"peer_frames_received_total", "", peers.frames_received},
      {"peer_frames_dropped_total", "", peers.frames_dropped},
      {"peer_bytes_sent_total", "", peers.bytes_sent},
      {"peer_bytes_received_total", "", peers.bytes_received},
  };
  Render("counter", samples, out);
}

void RenderMessages(const FleetState& state, std::ostream& out) {
  const FleetCounters& fleet = state.counters;
  const Sample samples[] = {
      {"fleet_messages_received_total", "", fleet.messages_received},
      {"fleet_messages_unheard_total", "", fleet.messages_unknown_sender},
      {"fleet_messages_ignored_total", "", fleet.messages_ignored},
      {"fleet_messages_malformed_total", "", fleet.messages_malformed},
      {"fleet_messages_dropped_total", "", state.queue_dropped},
      {"fleet_late_wakes_total", "", fleet.late_wakes},
  };
  Render("counter", samples, out);
}

void RenderDocuments(const DocumentCounters& documents, std::ostream& out) {
  const Sample samples[] = {
      {"documents_accepted_total", "", documents.accepted},
      {"documents_stale_total", R"({from="platform"})",
       documents.stale_from_platform},
      {"documents_stale_total", R"({from="peers"})",
       documents.stale_from_peers},
      {"documents_refused_total", "", documents.refused},
      {"documents_conflicts_total", "", documents.conflicts},
      {"documents_digests_sent_total", "", documents.digests_sent},
      {"documents_asks_sent_total", "", documents.requests_sent},
      {"documents_pushes_sent_total", "", documents.pushes_sent},
  };
  Render("counter", samples, out);
}

void RenderReads(const PlatformReaderCounters& reader, std::ostream& out) {
  const Sample samples[] = {
      {"platform_reads_total", "", reader.reads},
      {"platform_read_failures_total", "", reader.failures},
      {"platform_reads_throttled_total", "", reader.throttled},
  };
  Render("counter", samples, out);
}

void RenderRole(const FleetState& state, std::ostream& out) {
  const Sample samples[] = {
      {"fleet_reader", "", state.reader ? 1U : 0U},
      {"fleet_ready", "", state.ready ? 1U : 0U},
  };
  Render("gauge", samples, out);
}

void RenderRevisions(const FleetState& state, std::ostream& out) {
  out << "# TYPE damasktack_documents_revision gauge\n";
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    const auto name = static_cast<DocumentName>(n);
    out << "damasktack_documents_revision{document=\"" << ToString(name)
        << "\"} " << state.RevisionOf(name) << "\n";
  }
}

}  // namespace

std::string RenderFleetMetrics(const FleetState& state,
                               const TransportCounters& peers,
                               const PlatformReaderCounters& reader) {
  std::ostringstream out;
  RenderPeers(peers, out);
  RenderMessages(state, out);
  RenderDocuments(state.document_counters, out);
  RenderReads(reader, out);
  RenderRole(state, out);
  RenderRevisions(state, out);
  return out.str();
}

}  // namespace damasktack
