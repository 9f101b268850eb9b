#include "wire/websocket_transport.h"

#include <doctest/doctest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "wire/link_auth.h"

namespace damasktack {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout{10'000};

bool WaitFor(const std::function<bool()>& condition) {
  const auto last = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > last) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

class Recorder : public PeerTransportEvents {
 public:
  void OnLinkUp(const std::string& host, std::uint64_t incarnation) override {
    const std::lock_guard lock(mutex_);
    up_[host] = incarnation;
    ++link_up_count_;
  }
  void OnLinkDown(const std::string& host, std::uint64_t incarnation) override {
    const std::lock_guard lock(mutex_);
    if (up_[host] == incarnation) {
      up_.erase(host);
    }
  }
  void OnFrame(const std::string& /*host*/,
               std::uint64_t /*incarnation*/,
               std::string frame) override {
    const std::lock_guard lock(mutex_);
    frames_.push_back(std::move(frame));
  }
  std::uint64_t IncarnationOf(const std::string& host) const {
    const std::lock_guard lock(mutex_);
    const auto it = up_.find(host);
    return it == up_.end() ? 0 : it->second;
  }
  std::vector<std::string> frames() const {
    const std::lock_guard lock(mutex_);
    return frames_;
  }
  int link_up_count() const {
    const std::lock_guard lock(mutex_);
    return link_up_count_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> up_;
  std::vector<std::string> frames_;
  int link_up_count_ = 0;
};

struct Host {
  Host(const std::string& id,
       std::uint64_t incarnation,
       const std::string& key = "the fleet's key",
       std::function<void(WebsocketTransportOptions&)> change = {})
      : transport(OptionsFor(id, incarnation, key, change), events),
        address{id, "127.0.0.1", 0} {
    started = !transport.Start();
    address.port = transport.port();
  }

  static WebsocketTransportOptions OptionsFor(
      const std::string& id,
      std::uint64_t incarnation,
      const std::string& key,
      const std::function<void(WebsocketTransportOptions&)>& change) {
    WebsocketTransportOptions options;
    options.host = id;
    options.incarnation = incarnation;
    options.fleet_key = key;
    options.min_backoff = milliseconds(10);
    options.max_backoff = milliseconds(50);
    options.dial_grace = milliseconds(100);
    if (change) {
      change(options);
    }
    return options;
  }

  Recorder events;
  WebsocketTransport transport;
  PeerAddress address;
  bool started = false;
};

// A peer that sends bytes chosen by the test, for input that no daemon would
// send.
class RawPeer {
 public:
  explicit RawPeer(std::uint16_t port) : stream_(context_) {
    stream_.next_layer().connect({asio::ip::make_address("127.0.0.1"), port});
    stream_.handshake("127.0.0.1", "/");
    stream_.binary(true);
  }
  void Write(const std::string& bytes) {
    beast::error_code ec;
    stream_.write(asio::buffer(bytes), ec);
  }
  // Returns an empty text if the connection has ended.
  std::string Read() {
    beast::flat_buffer buffer;
    beast::error_code ec;
    stream_.read(buffer, ec);
    return ec ? "" : beast::buffers_to_string(buffer.data());
  }
  beast::websocket::stream<asio::ip::tcp::socket>& stream() { return stream_; }

 private:
  asio::io_context context_;
  beast::websocket::stream<asio::ip::tcp::socket> stream_;
};

struct Handshake {
  std::string greeting;
  std::string proof;
  std::string frame_key;
};

// Opens a link with the right key.
Handshake OpenLink(RawPeer& peer, const std::string& host) {
  const std::string own = EncodeGreeting({host, 9, GenerateNonce()});
  peer.Write(own);
  const LinkSecrets secrets("the fleet's key", own, peer.Read());
  peer.Write(secrets.DialerProof());
  CHECK(peer.Read() == secrets.AcceptorProof());
  return {own, secrets.DialerProof(), secrets.DialerFrameKey()};
}

TEST_CASE("two hosts that dial each other end with one link") {
  Host one("a", 11);
  Host two("b", 22);
  REQUIRE(one.started);
  REQUIRE(two.started);
  one.transport.SetPeers({one.address, two.address});
  two.transport.SetPeers({one.address, two.address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 22; }));
  CHECK(WaitFor([&] { return two.events.IncarnationOf("a") == 11; }));
  CHECK(one.transport.Send("b", "hello"));
  CHECK(two.transport.Send("a", std::string(1'000'000, 'x')));
  CHECK(WaitFor([&] { return two.events.frames().size() == 1; }));
  CHECK(WaitFor([&] { return one.events.frames().size() == 1; }));
  CHECK(one.events.frames()[0].size() == 1'000'000);
  CHECK_FALSE(one.transport.Send("unknown", "hello"));
}

TEST_CASE("a host that knows only a seed address finds the host there") {
  Host one("a", 11);
  Host two("b", 22);
  two.transport.SetPeers({PeerAddress{"", "127.0.0.1", one.address.port}});
  CHECK(WaitFor([&] { return two.events.IncarnationOf("a") == 11; }));
}

TEST_CASE("a host that dials need not be on the other's list") {
  Host one("a", 11);
  Host two("b", 22);
  two.transport.SetPeers({one.address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 22; }));
}

// A new process replaces a host under the same id while the old process's link
// still looks open. The link must switch to the new process and report its
// incarnation.
TEST_CASE("a new process under the same id replaces the old one") {
  Host one("a", 11);
  Host old("b", 22);
  old.transport.SetPeers({one.address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 22; }));
  Host successor("b", 33);
  successor.transport.SetPeers({one.address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 33; }));
}

TEST_CASE("a link is reopened when its peer restarts") {
  Host one("a", 11);
  auto two = std::make_unique<Host>("b", 22);
  const std::uint16_t port = two->address.port;
  one.transport.SetPeers({two->address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 22; }));
  two.reset();
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 0; }));
  Host again("b", 33, "the fleet's key",
             [&](auto& options) { options.listen_port = port; });
  REQUIRE(again.started);
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 33; }));
}

TEST_CASE("a host with another key is refused and counted") {
  Host one("a", 11);
  Host stranger("b", 22, "another key");
  stranger.transport.SetPeers({one.address});
  CHECK(WaitFor([&] { return one.transport.counters().refused_proof > 0; }));
  CHECK(one.events.link_up_count() == 0);
  CHECK(stranger.events.link_up_count() == 0);
}

// Replay attack: an outsider records the bytes that a host sent when it opened
// a link and sends them on another connection. Without the accepting side's
// nonce in the proof, the outsider would be accepted as that host.
TEST_CASE("a recorded handshake is rejected on another connection") {
  Host one("a", 11);
  RawPeer peer(one.address.port);
  const Handshake recorded = OpenLink(peer, "b");
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 9; }));
  RawPeer replay(one.address.port);
  replay.Write(recorded.greeting);
  CHECK(replay.Read() != "");
  replay.Write(recorded.proof);
  CHECK(replay.Read() == "");
  CHECK(one.transport.counters().refused_proof == 1);
  CHECK(one.events.link_up_count() == 1);
  CHECK(one.events.IncarnationOf("b") == 9);
}

// A frame is sent a second time on its link. It must not be accepted as a new
// message, because a grant or a goodbye would count twice.
TEST_CASE("a repeated frame closes only its own link") {
  Host one("a", 11);
  Host bystander("c", 44);
  bystander.transport.SetPeers({one.address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("c") == 44; }));
  RawPeer peer(one.address.port);
  FrameAuthenticator authenticator(OpenLink(peer, "b").frame_key);
  const std::string frame = authenticator.Seal("once");
  peer.Write(frame);
  peer.Write(frame);
  CHECK(peer.Read() == "");
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 0; }));
  CHECK(one.events.frames() == std::vector<std::string>{"once"});
  CHECK(one.transport.counters().refused_frames == 1);
  CHECK(one.events.IncarnationOf("c") == 44);
}

TEST_CASE("a malformed or oversized frame closes only its connection") {
  Host one("a", 11, "the fleet's key",
           [](auto& options) { options.max_frame_bytes = 1000; });
  Host bystander("c", 44);
  bystander.transport.SetPeers({one.address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("c") == 44; }));

  RawPeer no_greeting(one.address.port);
  no_greeting.Write("no greeting");
  CHECK(no_greeting.Read() == "");
  RawPeer text_sender(one.address.port);
  text_sender.stream().text(true);
  text_sender.Write("words");
  CHECK(text_sender.Read() == "");
  RawPeer large_greeting(one.address.port);
  large_greeting.Write(std::string(kMaxGreetingBytes + 1, 'x'));
  CHECK(large_greeting.Read() == "");
  RawPeer large_frame(one.address.port);
  FrameAuthenticator authenticator(OpenLink(large_frame, "b").frame_key);
  large_frame.Write(authenticator.Seal(std::string(1001, 'x')));
  CHECK(large_frame.Read() == "");
  CHECK(WaitFor([&] { return one.transport.counters().malformed == 4; }));
  CHECK(one.events.frames().empty());
  CHECK(one.events.IncarnationOf("c") == 44);
}

// Outsiders open connections and send nothing. Only a bounded number is kept,
// for a bounded time, and a daemon of the fleet can still connect.
TEST_CASE("silent connections are bounded in number and time") {
  Host one("a", 11, "the fleet's key", [](auto& options) {
    options.max_unauthenticated_connections = 4;
    options.proof_timeout = milliseconds(200);
  });
  asio::io_context context;
  std::vector<asio::ip::tcp::socket> silent;
  for (int n = 0; n < 20; ++n) {
    silent.emplace_back(context);
    silent.back().connect(
        {asio::ip::make_address("127.0.0.1"), one.address.port});
  }
  CHECK(WaitFor([&] { return one.transport.counters().refused_full > 0; }));
  Host two("b", 22);
  two.transport.SetPeers({one.address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 22; }));
  // Each of the twenty must be refused, either over the limit or by timeout.
  CHECK(WaitFor([&] {
    const TransportCounters counted = one.transport.counters();
    return counted.refused_full + counted.refused_late >= 20;
  }));
}

// A peer stops reading. The queue of frames for it must not grow without bound.
TEST_CASE("the queue of one link is bounded") {
  Host one("a", 11, "the fleet's key",
           [](auto& options) { options.link_queue_bytes = 3'000'000; });
  RawPeer peer(one.address.port);
  OpenLink(peer, "b");
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 9; }));
  CHECK(WaitFor(
      [&] { return !one.transport.Send("b", std::string(500'000, 'x')); }));
  CHECK(one.transport.counters().frames_dropped > 0);
}

TEST_CASE("blocked links are reopened when they are unblocked") {
  Host one("a", 11);
  Host two("b", 22);
  one.transport.SetPeers({two.address});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 22; }));
  two.transport.BlockLinksTo({"a"});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 0; }));
  two.transport.BlockLinksTo({});
  CHECK(WaitFor([&] { return one.events.IncarnationOf("b") == 22; }));
}

}  // namespace
}  // namespace damasktack
