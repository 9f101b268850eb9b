#ifndef ADMIN_ADMIN_JSON_H_
#define ADMIN_ADMIN_JSON_H_

#include <vector>

#include "admin/admin_report.h"
#include "core/json_reader.h"
#include "proxy/call_metrics.h"

namespace damasktack {

// Renders the responses of the administration API, which docs/OPERATIONS.md
// describes. Times are whole microseconds in members whose names end in "_us".

Json RenderStatus(const HostReport& host,
                  const std::vector<DocumentReport>& documents);
// Renders contracts without the digests of their keys, since the digest of a
// weak key allows guessing the key.
Json RenderContracts(const std::vector<DocumentReport>& documents,
                     const std::vector<Contract>& contracts);
Json RenderPeers(const std::vector<PeerReport>& peers);
Json RenderEndpoints(const std::vector<ServiceReport>& services);
Json RenderProbes(const std::vector<ServiceReport>& services);
Json RenderCustomers(const std::vector<CustomerReport>& customers);
Json RenderHistograms(const std::vector<CallMetrics::SeriesReport>& series);
Json RenderError(const Error& error);

}  // namespace damasktack

#endif  // ADMIN_ADMIN_JSON_H_
