#include <doctest/doctest.h>
#include <httplib.h>

#include <chrono>
#include <future>
#include <thread>

#include "standin/standin_platform.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string RevisionOf(const httplib::Result& result) {
  return result ? result->get_header_value("Platform-Revision") : "no answer";
}

TEST_CASE("a watch waits for a newer revision, and returns 304 if none came") {
  StandinPlatform platform;
  const std::uint16_t port = platform.Start(0);
  CHECK(platform.Publish("hosts", "one") == 1);
  httplib::Client client("127.0.0.1", port);
  CHECK(client.Get("/v1/documents/hosts?after=1&wait_ms=20")->status == 304);
  auto watch = std::async(std::launch::async, [port] {
    httplib::Client watcher("127.0.0.1", port);
    return watcher.Get("/v1/documents/hosts?after=1&wait_ms=30000");
  });
  while (platform.waiting() == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  platform.Publish("hosts", "two");
  const auto newer = watch.get();
  REQUIRE(newer);
  CHECK(newer->body == "two");
  CHECK(RevisionOf(newer) == "2");
  CHECK(client.Get("/v1/documents/contracts")->status == 404);
}

TEST_CASE("each platform fault is visible to readers") {
  StandinPlatform platform;
  httplib::Client client("127.0.0.1", platform.Start(0));
  platform.Publish("hosts", "one");
  platform.Publish("hosts", "two");
  const auto read = [&] { return client.Get("/v1/documents/hosts"); };
  platform.SetFault(StandinPlatform::Fault::kStale);
  CHECK(RevisionOf(read()) == "1");
  platform.SetFault(StandinPlatform::Fault::kDown);
  CHECK(read()->status == 503);
  platform.SetFault(StandinPlatform::Fault::kHalfBody);
  CHECK_FALSE(read());
  platform.SetFault(StandinPlatform::Fault::kRefusing);
  while (read()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  platform.SetFault(StandinPlatform::Fault::kNone);
  while (!read()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(RevisionOf(read()) == "2");
}

TEST_CASE("a lagging host list keeps its previous value for a while") {
  StandinPlatform platform;
  httplib::Client client("127.0.0.1", platform.Start(0));
  platform.Publish("hosts", "one");
  platform.SetHostsLag(seconds(60));
  platform.Publish("hosts", "two");
  platform.Publish("contracts", "c");
  CHECK(client.Get("/v1/documents/hosts")->body == "one");
  CHECK(client.Get("/v1/documents/contracts")->body == "c");
}

}  // namespace
}  // namespace damasktack
