#ifndef TESTS_ADMIN_FAKE_ADMIN_SOURCE_H_
#define TESTS_ADMIN_FAKE_ADMIN_SOURCE_H_

#include <atomic>
#include <string>
#include <vector>

#include "admin/admin_source.h"

namespace damasktack {

inline constexpr auto kFakeToken = "token-of-the-test-host";
inline constexpr auto kFakeDigest =
    "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683";

// Fake source with one entry of every kind, so that each route returns data.
class FakeAdminSource : public AdminSource {
 public:
  bool Ready() const override { return !drained_; }
  std::string Metrics() const override { return "calls_total 1\n"; }
  HostReport Host() const override {
    HostReport report;
    report.id = HostId("h1");
    report.zone = ZoneId("z1");
    report.ready = Ready();
    report.drained = drained_;
    report.uptime = std::chrono::seconds(2);
    return report;
  }
  std::vector<DocumentReport> Documents() const override {
    return {{DocumentName::kContracts, 7,
             RefusedDocument{8, Error{ErrorKind::kDuplicate, "contracts[1]",
                                      "keepers", "rename it"}}},
            {DocumentName::kServices, 3, {}},
            {DocumentName::kHosts, 4, {}}};
  }
  std::vector<Contract> Contracts() const override {
    Contract contract;
    contract.customer = CustomerId("keepers");
    contract.key_sha256 = {kFakeDigest};
    return {contract};
  }
  std::vector<PeerReport> Peers() const override {
    return {{HostId("h2"), ZoneId("z2"), 5, ListedState::kLeaving, true}};
  }
  std::vector<ServiceReport> Services() const override {
    ServiceReport report;
    report.id = ServiceId("dispatch");
    EndpointStatus endpoint;
    endpoint.id = EndpointId("e1");
    endpoint.state = "ejected";
    endpoint.reason = "errors in bulk";
    endpoint.report_age = std::chrono::milliseconds(3);
    report.balancer.table.endpoints = {endpoint};
    report.balancer.table.probes_sent = 12;
    return {report};
  }
  std::vector<CustomerReport> Customers() const override {
    CustomerReport report;
    report.id = CustomerId("keepers");
    report.rate = LimitPart{100, 50'000, 1'000, 2'000};
    return {report};
  }
  std::vector<CallMetrics::SeriesReport> Histograms() const override {
    return {{{CustomerId("keepers"), Urgency::kUrgent},
             {9, 1, 0},
             {{std::chrono::milliseconds(1), std::chrono::milliseconds(2), 10}},
             {}}};
  }
  void SetDrained(bool drained) override { drained_ = drained; }
  leaf::result<void> DeclareGone(const HostId& host) override {
    if (host != HostId("h2")) {
      return Fail(ErrorKind::kUnknownReference, "host " + host.text(),
                  "no such peer", "name a peer that /v1/peers lists");
    }
    return {};
  }

 private:
  std::atomic<bool> drained_ = false;
};

}  // namespace damasktack

#endif  // TESTS_ADMIN_FAKE_ADMIN_SOURCE_H_
