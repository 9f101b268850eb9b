#include <doctest/doctest.h>
#include <fcntl.h>
#include <httplib.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <filesystem>

#include "tests/system/system_fleet.h"

namespace damasktack {
namespace {

// A named pipe that is full and that nobody reads.
class FullPipe {
 public:
  explicit FullPipe(const std::string& path) {
    std::filesystem::remove(path);
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
    // Opened for reading and writing, so that opening does not block.
    fd_ = open(path.c_str(), O_RDWR | O_NONBLOCK);
    REQUIRE(fd_ >= 0);
    const std::array<char, 4096> bytes{};
    while (write(fd_, bytes.data(), bytes.size()) > 0) {
    }
  }
  ~FullPipe() { close(fd_); }

 private:
  int fd_ = -1;
};

// The reader of a host's standard output has stalled and the pipe is full, so
// the first log line blocks the logging thread. Callers must not be affected,
// and a planned stop must end the process: waiting for the last lines would
// keep it until the platform kills it, with calls in flight.
TEST_CASE("a host whose output nobody reads serves calls and stops") {
  SystemFleet fleet({Preset::kAlentejo, 1, 0});
  fleet.host(0).Signal(SIGTERM);
  REQUIRE(fleet.host(0).Wait() == 0);
  const DeployedHost& host = fleet.deployment().hosts[0];
  const FullPipe pipe(fleet.folder() + "/" + host.spec.id.text() + ".log");
  fleet.StartHost(0);
  fleet.WaitReady(0);
  httplib::Client client(host.callers.ip, host.callers.port);
  client.set_read_timeout(std::chrono::seconds(30));
  for (int n = 0; n < 100; ++n) {
    // Without a key: rejected, which is logged.
    const auto refused = client.Get("/dashboard/a");
    REQUIRE(refused);
    CHECK(refused->status == 401);
    const auto served =
        client.Get("/dashboard/a", {{"Damasktack-Key", "parishes-key"}});
    REQUIRE(served);
    CHECK(served->status == 200);
  }
  fleet.host(0).Signal(SIGTERM);
  WaitUntil("the host ends", [&] { return fleet.host(0).HasEnded(); });
  CHECK(fleet.host(0).Wait() == 0);
}

}  // namespace
}  // namespace damasktack
