#ifndef ADMIN_ADMIN_SOURCE_H_
#define ADMIN_ADMIN_SOURCE_H_

#include <string>
#include <vector>

#include "admin/admin_report.h"
#include "proxy/call_metrics.h"

namespace damasktack {

// Interface through which the administration API reads and controls the daemon.
// Called concurrently from the API's own threads.
class AdminSource {
 public:
  virtual ~AdminSource() = default;

  virtual bool Ready() const = 0;
  // Returns all metrics in the Prometheus text format.
  virtual std::string Metrics() const = 0;

  virtual HostReport Host() const = 0;
  // Returns one entry for each document in the order of DocumentName.
  virtual std::vector<DocumentReport> Documents() const = 0;
  // Returns the contracts in force.
  virtual std::vector<Contract> Contracts() const = 0;
  virtual std::vector<PeerReport> Peers() const = 0;
  virtual std::vector<ServiceReport> Services() const = 0;
  virtual std::vector<CustomerReport> Customers() const = 0;
  virtual std::vector<CallMetrics::SeriesReport> Histograms() const = 0;

  // Drains this host, so that it reports "not ready", or ends the drain. The
  // state is not persisted: a host that is restarted is not drained.
  virtual void SetDrained(bool drained) = 0;
  // Declares on the operator's behalf that the process of `host` has ended for
  // good, so that its part of every limit may be distributed among the others.
  virtual leaf::result<void> DeclareGone(const HostId& host) = 0;
};

}  // namespace damasktack

#endif  // ADMIN_ADMIN_SOURCE_H_
