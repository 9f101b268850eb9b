#include "tests/soak/fault_proxy.h"

#include <array>
#include <set>
#include <utility>
#include <vector>

namespace damasktack {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(5);
// Time until TCP keep-alive of the two ends detects a lost connection: 1 s idle
// and one probe 1 s later.
constexpr Duration kLostConnectionTimeout = std::chrono::milliseconds(2200);

struct ConnectionPair {
  explicit ConnectionPair(const asio::any_io_executor& executor)
      : client(executor), server(executor) {}

  void Reset() {
    boost::system::error_code ec;
    for (Tcp::socket* it : {&client, &server}) {
      it->set_option(asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
  }

  Tcp::socket client;
  Tcp::socket server;
  // The simulated network has lost this connection: no more bytes are
  // forwarded.
  bool is_lost = false;
  // The client is cut off, and the connection hangs.
  bool is_cut = false;
};

}  // namespace

class FaultProxies::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::io_context& context, const SocketAddress& server)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        server_(asio::ip::make_address(server.ip), server.port),
        random_(server.port) {}

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  void Start() {
    asio::co_spawn(
        acceptor_.get_executor(),
        [self = shared_from_this()] { return self->Accept(); }, asio::detached);
  }

  void SetFault(LinkFault fault, Duration delay) {
    const bool was_cut = fault_ == LinkFault::kCutToServer ||
                         fault_ == LinkFault::kCutToClient ||
                         fault_ == LinkFault::kCutBoth;
    for (const auto& it : pairs_) {
      if (was_cut && std::bernoulli_distribution(0.5)(random_)) {
        MarkLost(it);
      }
      if (fault == LinkFault::kReset) {
        it->Reset();
      }
    }
    fault_ = fault;
    delay_ = delay;
  }

  void SetPartition(Partition partition, IsCut is_cut) {
    partition_ = partition;
    is_cut_ = std::move(is_cut);
    for (const auto& it : pairs_) {
      if (std::exchange(it->is_cut, false)) {
        MarkLost(it);
      }
      if (partition == Partition::kRefuseNew || !IsCutOff(it->client)) {
        continue;
      }
      if (partition == Partition::kReset) {
        it->Reset();
      } else {
        it->is_cut = true;
      }
    }
  }

 private:
  // On a real network a lost connection gets no acknowledgements, so the
  // kernels of both ends detect the loss. Here the proxy's kernel acknowledges
  // the packets, so the proxy resets the connection when those kernels would.
  void MarkLost(const std::shared_ptr<ConnectionPair>& pair) {
    pair->is_lost = true;
    asio::co_spawn(
        acceptor_.get_executor(),
        [self = shared_from_this(), pair]() -> asio::awaitable<void> {
          co_await self->Sleep(kLostConnectionTimeout);
          pair->Reset();
        },
        asio::detached);
  }

  asio::awaitable<void> Accept() {
    while (true) {
      auto pair = std::make_shared<ConnectionPair>(acceptor_.get_executor());
      boost::system::error_code ec;
      co_await acceptor_.async_accept(
          pair->client, asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      const bool is_cut_off = IsCutOff(pair->client);
      const bool is_refused = is_cut_off && partition_ != Partition::kHang;
      if (fault_ == LinkFault::kReset || is_refused) {
        pair->Reset();
        continue;
      }
      pair->is_cut = is_cut_off;
      asio::co_spawn(
          acceptor_.get_executor(),
          [self = shared_from_this(), pair] { return self->Serve(pair); },
          asio::detached);
    }
  }

  asio::awaitable<void> Serve(std::shared_ptr<ConnectionPair> pair) {
    boost::system::error_code ec;
    co_await pair->server.async_connect(
        server_, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      pair->Reset();
      co_return;
    }
    pair->client.set_option(Tcp::no_delay(true), ec);
    pair->server.set_option(Tcp::no_delay(true), ec);
    pairs_.insert(pair);
    asio::co_spawn(
        acceptor_.get_executor(),
        [self = shared_from_this(), pair] {
          return self->Pump(pair, pair->client, pair->server,
                            LinkFault::kCutToServer);
        },
        asio::detached);
    co_await Pump(pair, pair->server, pair->client, LinkFault::kCutToClient);
  }

  bool IsCutOff(const Tcp::socket& client) const {
    boost::system::error_code ec;
    const auto peer = client.remote_endpoint(ec);
    return !ec && is_cut_ && is_cut_(peer.port(), port());
  }

  bool IsBlocked(const ConnectionPair& pair, LinkFault direction) const {
    return pair.is_lost || pair.is_cut || fault_ == direction ||
           fault_ == LinkFault::kCutBoth;
  }

  asio::awaitable<void> Sleep(Duration time) {
    asio::steady_timer timer(acceptor_.get_executor(), time);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }

  asio::awaitable<void> Pump(std::shared_ptr<ConnectionPair> pair,
                             Tcp::socket& from,
                             Tcp::socket& to,
                             LinkFault direction) {
    std::array<char, 16384> buf;
    boost::system::error_code ec;
    while (!ec) {
      const std::size_t n = co_await from.async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      const bool ended = static_cast<bool>(ec);
      while (IsBlocked(*pair, direction) && to.is_open()) {
        co_await Sleep(kPollInterval);
      }
      if (fault_ == LinkFault::kDelay) {
        co_await Sleep(delay_);
      }
      if (ended) {
        // Forward the end of this direction after its bytes.
        boost::system::error_code ignored;
        to.shutdown(Tcp::socket::shutdown_send, ignored);
        break;
      }
      co_await asio::async_write(to, asio::buffer(buf.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec && ec != asio::error::eof) {
      pair->Reset();
    }
    pairs_.erase(pair);
  }

  Tcp::acceptor acceptor_;
  const Tcp::endpoint server_;
  std::mt19937 random_;
  LinkFault fault_ = LinkFault::kNone;
  Duration delay_{};
  Partition partition_ = Partition::kHang;
  IsCut is_cut_;
  std::set<std::shared_ptr<ConnectionPair>> pairs_;
};

FaultProxies::FaultProxies()
    : work_(context_.get_executor()), thread_([this] { context_.run(); }) {}

FaultProxies::~FaultProxies() {
  work_.reset();
  context_.stop();
  thread_.join();
}

std::uint16_t FaultProxies::Add(const SocketAddress& server) {
  auto link = std::make_shared<Link>(context_, server);
  const std::lock_guard lock(mutex_);
  links_.push_back(link);
  asio::post(context_, [link] { link->Start(); });
  return link->port();
}

void FaultProxies::SetPartition(std::uint16_t port,
                                Partition partition,
                                IsCut is_cut) {
  const std::lock_guard lock(mutex_);
  for (const auto& it : links_) {
    if (it->port() == port) {
      asio::post(context_, [it, partition, is_cut] {
        it->SetPartition(partition, is_cut);
      });
    }
  }
}

void FaultProxies::SetFault(std::uint16_t port,
                            LinkFault fault,
                            Duration delay) {
  const std::lock_guard lock(mutex_);
  for (const auto& it : links_) {
    if (it->port() == port) {
      asio::post(context_, [it, fault, delay] { it->SetFault(fault, delay); });
    }
  }
}

}  // namespace damasktack
