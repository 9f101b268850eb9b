#include "main/load_generator.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include "core/random.h"
#include "proxy/answer_check.h"
#include "proxy/endpoint_pool.h"
#include "proxy/http_types.h"

namespace damasktack {

namespace {

constexpr std::size_t kConnectionsPerEntry = 4096;
constexpr Duration kMaxIdleTime = std::chrono::seconds(30);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kReadyPoll = std::chrono::milliseconds(50);
constexpr Duration kRepeatDelay = std::chrono::milliseconds(200);
constexpr std::string_view kEndpointTimeHeader = "Endpoint-Time-Us";
constexpr std::string_view kNumberPlaceholder = "{n}";

std::string WithNumber(std::string path, std::uint64_t n) {
  const std::size_t at = path.find(kNumberPlaceholder);
  if (at != std::string::npos) {
    path.replace(at, kNumberPlaceholder.size(), std::to_string(n));
  }
  return path;
}

std::optional<Duration> EndpointTime(const HttpResponse& answer) {
  const auto text = FromBeast(answer[ToBeast(kEndpointTimeHeader)]);
  std::int64_t time_us = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), time_us);
  if (text.empty() || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::microseconds(time_us);
}

std::string FailureKind(const HttpResponse& answer) {
  const Json json = Json::parse(answer.body(), nullptr, false);
  const bool named =
      json.is_object() && json.contains("kind") && json.at("kind").is_string();
  return named ? json.at("kind").get<std::string>() : std::string();
}

LoadOutcome OutcomeOf(const HttpResponse& answer) {
  const auto outcome = FromBeast(answer[ToBeast(kOutcomeHeader)]);
  constexpr unsigned kFirstServerError = 500;
  if (outcome == "complete") {
    return answer.result_int() < kFirstServerError ? LoadOutcome::kComplete
                                                   : LoadOutcome::kFailed;
  }
  return outcome == "not-run" ? LoadOutcome::kNotRun : LoadOutcome::kUnknown;
}

// A socket with a timer that closes it when it expires, which ends its pending
// operations.
struct TimedSocket : std::enable_shared_from_this<TimedSocket> {
  explicit TimedSocket(asio::io_context& context)
      : socket(context), timer(context) {}

  void ExpireAt(TimePoint time) {
    timer.expires_at(time);
    timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (!ec) {
        self->socket.close(ec);
      }
    });
  }

  Tcp::socket socket;
  asio::steady_timer timer;
};
using TimedSocketPtr = std::shared_ptr<TimedSocket>;

}  // namespace

// State of the event loop; used only on the thread that calls Run.
struct LoadGenerator::Backend {
  struct Entry {
    LoadEntry spec;
    bool ready = true;
  };

  // One call that is ready to be sent.
  struct Call {
    std::size_t load_class = 0;
    HttpRequest request;
    std::string key;
    TimePoint due;
  };

  explicit Backend(LoadPlan it)
      : plan(std::move(it)),
        random(static_cast<std::uint64_t>(plan.seed)),
        key_prefix(std::to_string(std::random_device{}()) + "-"),
        pool(kMaxIdleTime) {
    for (const LoadEntry& entry : plan.entries) {
      entries.push_back({entry});
    }
  }

  asio::awaitable<void> Start();
  asio::awaitable<void> SendClass(std::size_t n);
  asio::awaitable<void> Deliver(Call call, std::int64_t repeats);
  asio::awaitable<LoadRecord> SendOnce(const Call& call);
  asio::awaitable<std::optional<TimedSocketPtr>> Connect(std::size_t entry);
  asio::awaitable<bool> Exchange(TimedSocket& connection,
                                 const Call& call,
                                 HttpResponse& answer);
  asio::awaitable<void> WatchReady(Entry& entry);
  asio::awaitable<bool> AskReady(SocketAddress admin);
  asio::awaitable<void> SleepUntil(TimePoint time);
  Call MakeCall(std::size_t load_class, std::uint64_t number, TimePoint due);
  std::size_t NextEntry();

  LoadPlan plan;
  asio::io_context context{1};
  Random random;
  // Makes the idempotency keys of different runs distinct.
  std::string key_prefix;
  EndpointPool pool;
  std::vector<Entry> entries;
  std::size_t last_entry = 0;
  std::int64_t in_flight = 0;
  std::size_t classes_sending = 0;
  LoadRecords records;
};

asio::awaitable<void> LoadGenerator::Backend::SleepUntil(TimePoint time) {
  asio::steady_timer timer(context, time);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

std::size_t LoadGenerator::Backend::NextEntry() {
  for (std::size_t n = 0; n < entries.size(); ++n) {
    last_entry = (last_entry + 1) % entries.size();
    if (entries[last_entry].ready) {
      return last_entry;
    }
  }
  return last_entry = (last_entry + 1) % entries.size();
}

asio::awaitable<bool> LoadGenerator::Backend::AskReady(SocketAddress admin) {
  auto connection = std::make_shared<TimedSocket>(context);
  connection->ExpireAt(Clock::now() + kConnectTimeout);
  boost::system::error_code ec;
  const Tcp::endpoint peer(asio::ip::make_address(admin.ip), admin.port);
  co_await connection->socket.async_connect(
      peer, asio::redirect_error(asio::use_awaitable, ec));
  http::request<http::empty_body> request(http::verb::get, "/readyz", 11);
  request.set(http::field::host, ToString(admin));
  request.keep_alive(false);
  HttpResponse answer;
  if (!ec) {
    co_await http::async_write(connection->socket, request,
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  if (!ec) {
    beast::flat_buffer buf;
    co_await http::async_read(connection->socket, buf, answer,
                              asio::redirect_error(asio::use_awaitable, ec));
  }
  connection->timer.cancel();
  co_return !ec && answer.result() == http::status::ok;
}

asio::awaitable<void> LoadGenerator::Backend::WatchReady(Entry& entry) {
  while (classes_sending > 0 || in_flight > 0) {
    entry.ready = co_await AskReady(*entry.spec.admin);
    co_await SleepUntil(Clock::now() + kReadyPoll);
  }
}

asio::awaitable<std::optional<TimedSocketPtr>> LoadGenerator::Backend::Connect(
    std::size_t entry) {
  const SocketAddress& address = entries[entry].spec.callers;
  auto connection = std::make_shared<TimedSocket>(context);
  std::optional<EndpointConnection> idle =
      pool.Take({address, kConnectionsPerEntry}, Clock::now());
  if (idle) {
    connection->socket = std::move(idle->socket());
    co_return connection;
  }
  connection->ExpireAt(Clock::now() + kConnectTimeout);
  boost::system::error_code ec;
  const Tcp::endpoint peer(asio::ip::make_address(address.ip), address.port);
  co_await connection->socket.async_connect(
      peer, asio::redirect_error(asio::use_awaitable, ec));
  connection->timer.cancel();
  if (ec) {
    pool.Discard(address);
    co_return std::nullopt;
  }
  connection->socket.set_option(Tcp::no_delay(true), ec);
  co_return connection;
}

asio::awaitable<bool> LoadGenerator::Backend::Exchange(TimedSocket& connection,
                                                       const Call& call,
                                                       HttpResponse& answer) {
  boost::system::error_code ec;
  connection.ExpireAt(
      Clock::now() + plan.answer_timeout +
      plan.classes[call.load_class].deadline.value_or(Duration::zero()));
  co_await http::async_write(connection.socket, call.request,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (!ec) {
    beast::flat_buffer buf;
    co_await http::async_read(connection.socket, buf, answer,
                              asio::redirect_error(asio::use_awaitable, ec));
  }
  connection.timer.cancel();
  co_return !ec && IsFinalStatus(answer.result_int());
}

asio::awaitable<LoadRecord> LoadGenerator::Backend::SendOnce(const Call& call) {
  LoadRecord record;
  record.load_class = call.load_class;
  record.key = call.key;
  record.outcome = LoadOutcome::kNoEntry;
  std::optional<TimedSocketPtr> connection;
  std::size_t entry = 0;
  for (std::size_t n = 0; n < entries.size() && !connection; ++n) {
    entry = NextEntry();
    connection = co_await Connect(entry);
  }
  if (!connection) {
    co_return record;
  }
  HttpResponse answer;
  const bool is_complete = co_await Exchange(**connection, call, answer);
  record.latency = Clock::now() - call.due;
  const SocketAddress& address = entries[entry].spec.callers;
  if (is_complete && answer.keep_alive()) {
    pool.Put({address, kConnectionsPerEntry},
             EndpointConnection(std::move((*connection)->socket)),
             Clock::now());
  } else {
    pool.Discard(address);
  }
  if (!is_complete) {
    record.outcome = LoadOutcome::kCut;
    co_return record;
  }
  record.status = static_cast<int>(answer.result_int());
  record.outcome = OutcomeOf(answer);
  record.call = FromBeast(answer[ToBeast(kCallHeader)]);
  record.at_endpoint = EndpointTime(answer);
  if (record.outcome != LoadOutcome::kComplete) {
    record.kind = FailureKind(answer);
  } else if (plan.classes[call.load_class].expect_path &&
             answer.body().find(std::string(call.request.target()) + "\n") ==
                 std::string::npos) {
    record.outcome = LoadOutcome::kWrongAnswer;
  }
  co_return record;
}

asio::awaitable<void> LoadGenerator::Backend::Deliver(Call call,
                                                      std::int64_t repeats) {
  ++in_flight;
  while (true) {
    const LoadRecord record = co_await SendOnce(call);
    records.push_back(record);
    const bool outcome_unknown = record.outcome == LoadOutcome::kUnknown ||
                                 record.outcome == LoadOutcome::kCut;
    if (!outcome_unknown || repeats-- == 0) {
      break;
    }
    co_await SleepUntil(Clock::now() + kRepeatDelay);
    call.due = Clock::now();
  }
  --in_flight;
}

LoadGenerator::Backend::Call LoadGenerator::Backend::MakeCall(
    std::size_t load_class,
    std::uint64_t number,
    TimePoint due) {
  const LoadClass& spec = plan.classes[load_class];
  Call call;
  call.load_class = load_class;
  call.due = due;
  HttpRequest& request = call.request;
  request.version(11);
  request.method_string(ToBeast(spec.method));
  request.target(WithNumber(spec.path, number));
  request.set(http::field::host, "damasktack");
  request.set(ToBeast(kKeyHeader), spec.key);
  if (spec.deadline) {
    const auto deadline_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(*spec.deadline);
    request.set(ToBeast(kDeadlineHeader), std::to_string(deadline_ms.count()));
  }
  if (spec.idempotency_keys) {
    call.key = key_prefix + spec.name + "-" + std::to_string(number);
    request.set(ToBeast(kIdempotencyKeyHeader), call.key);
  }
  request.prepare_payload();
  return call;
}

asio::awaitable<void> LoadGenerator::Backend::SendClass(std::size_t n) {
  const LoadClass& spec = plan.classes[n];
  const TimePoint start = Clock::now() + spec.start;
  const Duration rest = plan.duration - spec.start;
  const TimePoint end = start + std::min(spec.duration.value_or(rest), rest);
  std::exponential_distribution<double> gap_s(spec.rate);
  std::uniform_int_distribution<std::int64_t> percent(0, 99);
  TimePoint due = start;
  for (std::uint64_t number = 0; due < end; ++number) {
    co_await SleepUntil(due);
    if (in_flight >= plan.in_flight) {
      LoadRecord& record = records.emplace_back();
      record.load_class = n;
    } else {
      Call call = MakeCall(n, number, due);
      const bool send_twice =
          spec.idempotency_keys && percent(random) < spec.doubled_percent;
      if (send_twice) {
        asio::co_spawn(context, Deliver(call, spec.repeats), asio::detached);
      }
      asio::co_spawn(context, Deliver(std::move(call), spec.repeats),
                     asio::detached);
    }
    due += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap_s(random)));
  }
  --classes_sending;
}

asio::awaitable<void> LoadGenerator::Backend::Start() {
  for (Entry& it : entries) {
    if (it.spec.admin) {
      it.ready = co_await AskReady(*it.spec.admin);
    }
  }
  classes_sending = plan.classes.size();
  for (std::size_t n = 0; n < plan.classes.size(); ++n) {
    asio::co_spawn(context, SendClass(n), asio::detached);
  }
  for (Entry& it : entries) {
    if (it.spec.admin) {
      asio::co_spawn(context, WatchReady(it), asio::detached);
    }
  }
}

LoadGenerator::LoadGenerator(LoadPlan plan)
    : backend_(std::make_unique<Backend>(std::move(plan))) {}

LoadGenerator::~LoadGenerator() = default;

LoadRecords LoadGenerator::Run() {
  asio::co_spawn(backend_->context, backend_->Start(), asio::detached);
  backend_->context.run();
  return std::move(backend_->records);
}

}  // namespace damasktack
