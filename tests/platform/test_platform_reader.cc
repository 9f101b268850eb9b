#include "fleet/platform_reader.h"

#include <doctest/doctest.h>

#include <functional>
#include <vector>

#include "platform/http_platform_source.h"
#include "standin/standin_platform.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

bool WaitFor(const std::function<bool()>& condition) {
  const TimePoint deadline = Clock::now() + std::chrono::seconds(10);
  while (!condition()) {
    if (Clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

class Recorder : public PlatformReaderEvents {
 public:
  void OnDocument(Document document) override {
    const std::lock_guard lock(mutex_);
    documents_.push_back(std::move(document));
  }
  void OnQueried(DocumentName /*name*/, std::uint64_t check) override {
    ++queries_;
    check_ = check;
  }
  std::uint64_t check() const { return check_; }
  bool HasDocument(const std::string& body) const {
    const std::lock_guard lock(mutex_);
    return std::ranges::any_of(
        documents_, [&](const Document& it) { return it.body == body; });
  }
  int queries() const { return queries_; }

 private:
  mutable std::mutex mutex_;
  std::vector<Document> documents_;
  std::atomic<int> queries_ = 0;
  std::atomic<std::uint64_t> check_ = 0;
};

struct Fixture {
  Fixture() {
    options.schedule.min_backoff = milliseconds(20);
    options.schedule.max_backoff = milliseconds(50);
    options.schedule.start_spread = milliseconds(10);
    options.watch = milliseconds(200);
    port = platform.Start(0);
    source =
        std::make_unique<HttpPlatformSource>(SocketAddress{"127.0.0.1", port});
    reader = std::make_unique<PlatformReader>(options, *source, events, 1);
  }

  PlatformReaderOptions options;
  StandinPlatform platform;
  std::uint16_t port = 0;
  Recorder events;
  std::unique_ptr<HttpPlatformSource> source;
  std::unique_ptr<PlatformReader> reader;
};

TEST_CASE("a host that is not a reader reads once; a reader receives changes") {
  Fixture fixture;
  fixture.platform.Publish("contracts", "one");
  fixture.platform.Publish("services", "two");
  fixture.platform.Publish("hosts", "three");
  fixture.reader->Start();
  CHECK(WaitFor([&] { return fixture.events.queries() == 3; }));
  CHECK(fixture.events.HasDocument("one"));
  CHECK(fixture.events.HasDocument("three"));
  fixture.platform.Publish("contracts", "four");
  fixture.reader->SetReader(true);
  CHECK(WaitFor([&] { return fixture.events.HasDocument("four"); }));
  fixture.platform.Publish("contracts", "five");
  CHECK(WaitFor([&] { return fixture.events.HasDocument("five"); }));
}

TEST_CASE("platform failures are counted, and its recovery is noticed") {
  Fixture fixture;
  fixture.platform.Publish("contracts", "one");
  fixture.platform.SetFault(StandinPlatform::Fault::kDown);
  fixture.reader->SetReader(true);
  fixture.reader->Start();
  CHECK(WaitFor([&] { return fixture.reader->counters().failures > 5; }));
  CHECK(fixture.events.queries() > 2);
  CHECK_FALSE(fixture.events.HasDocument("one"));
  fixture.platform.SetFault(StandinPlatform::Fault::kNone);
  CHECK(WaitFor([&] { return fixture.events.HasDocument("one"); }));
}

// The platform was restored from an old backup and serves a revision below the
// one in use. The reader must keep watching without a busy loop.
TEST_CASE("an older revision does not turn the watch into a busy loop") {
  Fixture fixture;
  fixture.platform.PublishAs("contracts", 9, "new");
  fixture.reader->SetReader(true);
  fixture.reader->Start();
  CHECK(WaitFor([&] { return fixture.events.HasDocument("new"); }));
  fixture.platform.PublishAs("contracts", 3, "old");
  const std::uint64_t before = fixture.platform.reads();
  std::this_thread::sleep_for(milliseconds(500));
  // Three documents, each with a watch of 200 ms or a backoff of 50 ms.
  CHECK(fixture.platform.reads() - before < 60);
  fixture.platform.PublishAs("contracts", 10, "newer");
  CHECK(WaitFor([&] { return fixture.events.HasDocument("newer"); }));
}

// A host that was suspended must get a platform response to its new check: a
// watch that was sent before the pause proves nothing about the present.
TEST_CASE("a new check does not wait for the watch of the old one") {
  Fixture fixture;
  fixture.options.watch = std::chrono::minutes(5);
  fixture.platform.Publish("contracts", "one");
  PlatformReader reader(fixture.options, *fixture.source, fixture.events, 1);
  reader.SetReader(true);
  reader.Start();
  CHECK(WaitFor([&] { return fixture.platform.reads() >= 4; }));
  reader.ReadSoon(7);
  CHECK(WaitFor([&] { return fixture.events.check() == 7; }));
}

TEST_CASE("a waiting watch does not delay Stop") {
  Fixture fixture;
  fixture.options.watch = std::chrono::minutes(5);
  fixture.platform.Publish("contracts", "one");
  PlatformReader reader(fixture.options, *fixture.source, fixture.events, 1);
  reader.SetReader(true);
  reader.Start();
  CHECK(WaitFor([&] { return fixture.platform.reads() >= 4; }));
  reader.Stop();
}

}  // namespace
}  // namespace damasktack
