#ifndef FLEET_FLEET_STATE_H_
#define FLEET_FLEET_STATE_H_

#include <array>
#include <memory>
#include <optional>

#include "fleet/fleet_core.h"

namespace damasktack {

// A consistent snapshot of the fleet state for other threads.
struct FleetState {
  std::array<std::shared_ptr<const Document>, kDocumentCount> documents;
  std::array<std::optional<DocumentRefusal>, kDocumentCount> refused;
  HostView view;
  // Whether this host watches the platform for its zone.
  bool reader = false;
  bool ready = false;
  std::uint64_t check_number = 0;
  FleetCounters counters;
  DocumentCounters document_counters;
  // Frames dropped because the loop's queue was full.
  std::uint64_t queue_dropped = 0;

  const std::shared_ptr<const Document>& InForce(DocumentName name) const {
    return documents[static_cast<std::size_t>(name)];
  }
  Revision RevisionOf(DocumentName name) const {
    return InForce(name) ? InForce(name)->revision : 0;
  }
};

}  // namespace damasktack

#endif  // FLEET_FLEET_STATE_H_
