#include "standin/standin_platform.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "standin/standin_listener.h"

namespace damasktack {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Response = http::response<http::string_body>;

constexpr Duration kSlowResponseDelay = std::chrono::seconds(1);
constexpr std::string_view kPathPrefix = "/v1/documents/";
constexpr std::string_view kHostsName = "hosts";
constexpr std::size_t kRetainedValues = 2;

std::optional<std::uint64_t> NumberParameter(std::string_view query,
                                             std::string_view name) {
  const std::string key = std::string(name) + "=";
  const std::size_t at = query.find(key);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const std::string_view text = query.substr(at + key.size());
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// A read or watch, parsed from a request's target.
struct Query {
  std::string name;
  std::optional<std::uint64_t> after;
  std::chrono::milliseconds wait{};
};

std::optional<Query> ParseQuery(std::string_view target) {
  if (!target.starts_with(kPathPrefix)) {
    return std::nullopt;
  }
  target.remove_prefix(kPathPrefix.size());
  const std::size_t path_size = std::min(target.find('?'), target.size());
  const std::string_view query = target.substr(path_size);
  return Query{
      std::string(target.substr(0, path_size)), NumberParameter(query, "after"),
      std::chrono::milliseconds(NumberParameter(query, "wait_ms").value_or(0))};
}

}  // namespace

// Platform state and coroutines. Runs only on the event loop's thread.
struct StandinPlatform::Backend {
  using SocketPtr = std::shared_ptr<Tcp::socket>;

  explicit Backend(StandinPlatform& owner)
      : self(owner), listener(*owner.loop_, [this](Tcp::socket socket) {
          return Serve(std::make_shared<Tcp::socket>(std::move(socket)));
        }) {}

  asio::awaitable<void> Serve(SocketPtr socket);
  asio::awaitable<Response> Answer(const Query& query);
  asio::awaitable<void> AwaitNewer(const Query& query);
  asio::awaitable<bool> Send(Tcp::socket& socket, Response& response);
  void WakeWatches();
  void ApplyFault();

  StandinPlatform& self;
  StandinListener listener;
  std::set<SocketPtr> sockets;
  std::set<asio::steady_timer*> waits;
};

void StandinPlatform::Backend::WakeWatches() {
  for (asio::steady_timer* it : waits) {
    it->cancel();
  }
}

void StandinPlatform::Backend::ApplyFault() {
  WakeWatches();
  if (self.fault() != Fault::kRefusing) {
    listener.Reopen();
    return;
  }
  listener.Close();
  for (const SocketPtr& it : sockets) {
    boost::system::error_code ec;
    it->close(ec);
  }
}

asio::awaitable<void> StandinPlatform::Backend::AwaitNewer(const Query& query) {
  const TimePoint wait_end = Clock::now() + query.wait;
  asio::steady_timer timer(self.loop_->context());
  waits.insert(&timer);
  ++self.waiting_;
  while (self.VisibleValue(query.name).revision <= *query.after &&
         self.fault() != Fault::kDown && Clock::now() < wait_end) {
    boost::system::error_code ec;
    timer.expires_at(wait_end);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  --self.waiting_;
  waits.erase(&timer);
}

asio::awaitable<Response> StandinPlatform::Backend::Answer(const Query& query) {
  if (self.fault() == Fault::kSlow) {
    asio::steady_timer timer(self.loop_->context(), kSlowResponseDelay);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  if (query.after) {
    co_await AwaitNewer(query);
  }
  Response response(http::status::ok, 11);
  if (self.fault() == Fault::kDown) {
    response.result(http::status::service_unavailable);
    co_return response;
  }
  const Value value = self.VisibleValue(query.name);
  if (value.revision == 0) {
    response.result(http::status::not_found);
    co_return response;
  }
  if (query.after && value.revision <= *query.after) {
    response.result(http::status::not_modified);
    co_return response;
  }
  response.set("Platform-Revision", std::to_string(value.revision));
  response.set(http::field::content_type, "application/json");
  response.body() = value.body;
  co_return response;
}

asio::awaitable<bool> StandinPlatform::Backend::Send(Tcp::socket& socket,
                                                     Response& response) {
  boost::system::error_code ec;
  if (self.fault() == Fault::kHalfBody && !response.body().empty()) {
    std::ostringstream text;
    text << response.base() << response.body();
    std::string bytes = text.str();
    bytes.resize(bytes.size() - (response.body().size() / 2));
    co_await asio::async_write(socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return false;
  }
  co_await http::async_write(socket, response,
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec && response.keep_alive();
}

asio::awaitable<void> StandinPlatform::Backend::Serve(SocketPtr socket) {
  sockets.insert(socket);
  beast::flat_buffer buf;
  boost::system::error_code ec;
  bool keep_open = true;
  while (keep_open) {
    http::request<http::string_body> request;
    co_await http::async_read(*socket, buf, request,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      break;
    }
    ++self.reads_;
    const auto target = request.target();
    const auto query =
        ParseQuery(std::string_view(target.data(), target.size()));
    Response response(http::status::not_found, 11);
    if (query) {
      response = co_await Answer(*query);
    }
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    keep_open = co_await Send(*socket, response);
  }
  socket->shutdown(Tcp::socket::shutdown_both, ec);
  sockets.erase(socket);
}

StandinPlatform::StandinPlatform()
    : loop_(std::make_shared<StandinLoop>()),
      backend_(std::make_unique<Backend>(*this)) {}

StandinPlatform::~StandinPlatform() {
  Stop();
}

std::uint16_t StandinPlatform::Start(std::uint16_t port) {
  return backend_->listener.Open(port);
}

void StandinPlatform::Stop() {
  loop_->Stop();
}

StandinPlatform::Fault StandinPlatform::fault() const {
  const std::lock_guard lock(mutex_);
  return fault_;
}

StandinPlatform::Value StandinPlatform::VisibleValue(
    const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto it = values_.find(name);
  if (it == values_.end()) {
    return {};
  }
  const std::vector<Value>& retained = it->second;
  const bool lags = Clock::now() < retained.back().visible_from;
  if (retained.size() == kRetainedValues && (lags || fault_ == Fault::kStale)) {
    return retained.front();
  }
  return lags ? Value{} : retained.back();
}

void StandinPlatform::Put(const std::string& name, Value value) {
  const TimePoint visible_from = value.visible_from;
  {
    const std::lock_guard lock(mutex_);
    std::vector<Value>& retained = values_[name];
    if (retained.size() == kRetainedValues) {
      retained.erase(retained.begin());
    }
    retained.push_back(std::move(value));
  }
  auto timer = std::make_shared<asio::steady_timer>(loop_->context());
  timer->expires_at(visible_from);
  timer->async_wait([this, timer](boost::system::error_code /*ec*/) {
    backend_->WakeWatches();
  });
}

std::uint64_t StandinPlatform::Publish(const std::string& name,
                                       std::string body) {
  std::uint64_t revision = 1;
  TimePoint visible_from = Clock::now();
  {
    const std::lock_guard lock(mutex_);
    const auto it = values_.find(name);
    if (it != values_.end()) {
      revision = it->second.back().revision + 1;
    }
    if (name == kHostsName) {
      visible_from += hosts_lag_;
    }
  }
  Put(name, Value{revision, std::move(body), visible_from});
  return revision;
}

void StandinPlatform::PublishAs(const std::string& name,
                                std::uint64_t revision,
                                std::string body) {
  Put(name, Value{revision, std::move(body), Clock::now()});
}

void StandinPlatform::SetHostsLag(Duration lag) {
  const std::lock_guard lock(mutex_);
  hosts_lag_ = lag;
}

void StandinPlatform::SetFault(Fault fault) {
  {
    const std::lock_guard lock(mutex_);
    fault_ = fault;
  }
  asio::post(loop_->context(), [this] { backend_->ApplyFault(); });
}

}  // namespace damasktack
