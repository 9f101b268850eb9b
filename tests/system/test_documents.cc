#include <doctest/doctest.h>
#include <httplib.h>
#include <signal.h>

#include <future>
#include <thread>

#include "tests/system/load_checks.h"
#include "tests/system/system_fleet.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

constexpr int kOk = 200;

// Returns the status of a lookup by the customer "parishes" through one host; 0
// if there was no response.
int LookupStatus(const SocketAddress& callers) {
  httplib::Client client(callers.ip, callers.port);
  client.set_read_timeout(seconds(30));
  const auto answer =
      client.Get("/dashboard/a", {{"Damasktack-Key", "parishes-key"}});
  return answer ? answer->status : 0;
}

void WaitUntilInForce(SystemFleet& fleet,
                      DocumentName name,
                      Revision revision) {
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    WaitUntil("a revision is in force on host " + std::to_string(n),
              [&] { return fleet.InForce(n, name) == revision; });
  }
}

// Removes the contract of "parishes", which allows it to read the dashboard.
void RevokeParishes(SystemFleet& fleet) {
  std::erase_if(fleet.deployment().contracts, [](const Contract& it) {
    return it.customer.text() == "parishes";
  });
  fleet.Publish(DocumentName::kContracts);
}

// A customer whose contract was removed must be rejected by every host; a host
// that missed the change would keep serving it.
TEST_CASE("a published change is in force on every host") {
  SystemFleet fleet({Preset::kAlentejo, 5, 0});
  for (const DeployedHost& it : fleet.deployment().hosts) {
    CHECK(LookupStatus(it.callers) == kOk);
  }
  RevokeParishes(fleet);
  WaitUntilInForce(fleet, DocumentName::kContracts, 2);
  for (const DeployedHost& it : fleet.deployment().hosts) {
    CHECK(LookupStatus(it.callers) != kOk);
  }
}

// While the platform is down, a killed host is restarted without data and must
// take the documents from its peers. Then the platform returns with an older
// revision and another host is replaced: no host may accept the older
// contracts, under which the removed customer would be served again.
TEST_CASE(
    "contracts survive a platform outage and never revert to older ones") {
  SystemFleet fleet({Preset::kAlentejo, 4, 0});
  const std::string old_text = ContractsText(fleet.deployment());
  RevokeParishes(fleet);
  WaitUntilInForce(fleet, DocumentName::kContracts, 2);
  fleet.standins().platform().SetFault(StandinPlatform::Fault::kRefusing);
  fleet.host(0).Signal(SIGKILL);
  fleet.host(0).Wait();
  fleet.StartHost(0);
  fleet.WaitReady(0);
  CHECK(fleet.InForce(0, DocumentName::kContracts) == 2);

  fleet.standins().platform().PublishAs("contracts", 1, old_text);
  fleet.standins().platform().SetFault(StandinPlatform::Fault::kNone);
  const std::uint64_t reads = fleet.standins().platform().reads();
  fleet.host(1).Signal(SIGTERM);
  CHECK(fleet.host(1).Wait() == 0);
  fleet.StartHost(1);
  fleet.WaitReady(1);
  WaitUntil("the stale platform is read",
            [&] { return fleet.standins().platform().reads() > reads; });
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    CHECK(fleet.InForce(n, DocumentName::kContracts) == 2);
    const SocketAddress& callers = fleet.deployment().hosts[n].callers;
    CHECK(LookupStatus(callers) != kOk);
  }
}

// A host is suspended like a paused virtual machine. Meanwhile a customer loses
// its contract and sends a call that waits in the host's socket. After it
// resumes, the host must verify its documents, which are outdated, before it
// serves this call.
TEST_CASE("a host that resumes late does not serve by outdated contracts") {
  SystemFleet fleet({Preset::kAlentejo, 4, 0});
  const SocketAddress callers = fleet.deployment().hosts[2].callers;
  CHECK(LookupStatus(callers) == kOk);
  fleet.host(2).Signal(SIGSTOP);
  RevokeParishes(fleet);
  for (const std::size_t n : {0, 1, 3}) {
    WaitUntil("the others have the change",
              [&] { return fleet.InForce(n, DocumentName::kContracts) == 2; });
  }
  auto waiting =
      std::async(std::launch::async, [&] { return LookupStatus(callers); });
  // Longer than the silence after which peers regard it as unreachable (3 s).
  std::this_thread::sleep_for(seconds(4));
  fleet.host(2).Signal(SIGCONT);
  CHECK(waiting.get() != kOk);
  WaitUntil("the resumed host has the change",
            [&] { return fleet.InForce(2, DocumentName::kContracts) == 2; });
  fleet.WaitReady(2);
  CHECK(LookupStatus(callers) != kOk);
}

}  // namespace
}  // namespace damasktack
