#include "tests/crowd/crowd_host.h"

#include <doctest/doctest.h>
#include <signal.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

namespace {

constexpr auto kCallHeader = "X-Damasktack-Request-Id: ";
// Longer than any test takes, so that no timeout gives back what a crowd holds.
constexpr int kCallerTimeoutMs = 120'000;
constexpr Duration kMaxStartTime = std::chrono::minutes(1);
constexpr Duration kPollInterval = std::chrono::milliseconds(20);

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "damasktack-crowd-XXXXXX")
          .string();
  REQUIRE(mkdtemp(path.data()) != nullptr);
  return path;
}

std::string Local(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Returns the value of a header line that begins with `name`.
std::string ValueOf(std::string_view head, std::string_view name) {
  const std::size_t at = head.find(name);
  if (at == std::string_view::npos) {
    return "";
  }
  const std::string_view rest = head.substr(at + name.size());
  return std::string(rest.substr(0, rest.find("\r\n")));
}

}  // namespace

std::string RequestHead(std::string_view method,
                        std::string_view target,
                        const std::string& id,
                        std::string_view length) {
  std::string head = std::string(method) + " " + std::string(target) +
                     " HTTP/1.1\r\nHost: crowd.example\r\n" + kCallHeader + id +
                     "\r\nX-Damasktack-Deadline-Ms: 60000\r\n";
  if (!length.empty()) {
    head += std::string(length) + "\r\n";
  }
  return head + "\r\n";
}

int StatusCodeOf(std::string_view answer) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  return answer.starts_with(kVersion)
             ? std::atoi(std::string(answer.substr(kVersion.size(), 3)).c_str())
             : 0;
}

CrowdHost::CrowdHost()
    : folder_(MakeFolder()),
      callers_(ports_.Take()),
      relays_(ports_.Take()),
      admin_(ports_.Take()),
      peers_(ports_.Take()),
      endpoint_([this](RawConnection& it) { Serve(it); }) {
  signal(SIGPIPE, SIG_IGN);
  Publish();
  std::ofstream(folder_ + "/host.json") << Settings();
  process_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{DAMASKTACK_BINARY, "--settings",
                               folder_ + "/host.json"},
      folder_ + "/host.log");
  const TimePoint last = Clock::now() + kMaxStartTime;
  const std::string get =
      RequestHead("GET", "/read/x", "start", "Connection: close");
  while (StatusCodeOf(Ask(get)) != 200) {
    REQUIRE(Clock::now() < last);
    std::this_thread::sleep_for(kPollInterval);
  }
}

CrowdHost::~CrowdHost() {
  process_.reset();
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

std::string CrowdHost::Settings() const {
  return Json{{"host", "h0"},
              {"zone", "z0"},
              {"proxy",
               {{"listen", Local(callers_)},
                {"relay_listen", Local(relays_)},
                {"threads", 1},
                {"connections", kCallerConnections},
                {"memory_mb", kMachineBytes / 1'000'000},
                {"measures_before_sending", true}}},
              {"admin",
               {{"listen", Local(admin_)},
                {"public_only", true},
                {"ready_path", "/v1/readiness"}}},
              {"store", {{"address", Local(store_.port())}}},
              {"fleet",
               {{"listen", Local(peers_)},
                {"key", "a-key-that-only-these-tests-use"},
                {"seeds", {Local(peers_)}}}}}
      .dump(2);
}

void CrowdHost::Publish() {
  const Json routes{{"columns",
                     {"name", "host", "prefix", "kind", "timeout_ms",
                      "target_latency_ms", "max_attempts", "service"}},
                    {"rows",
                     {Json::array({"read", "crowd.example", "/read/", "safe",
                                   60000, 60000, 2, "s"}),
                      Json::array({"write", "crowd.example", "/write/",
                                   "unsafe", 60000, 60000, 2, "s"})}}};
  const Json services{{"columns", {"name", "health_path"}},
                      {"rows", Json::array({Json::array({"s", "/health"})})}};
  const Json limits{{"max_header_bytes", 16384},
                    {"max_body_bytes", kMaxBodyBytes},
                    {"header_timeout_ms", kCallerTimeoutMs},
                    {"idle_timeout_ms", kCallerTimeoutMs}};
  const Json endpoint{
      {"info",
       {{"service", "s"}, {"version", "v1"}, {"zone", "z0"}, {"slots", 6}}},
      {"status", {{"state", "ready"}, {"sequence", 1}, {"cold_ms", 0}}},
      {"address", Local(endpoint_.port())}};
  store_.PutJson("servers/i-0", endpoint.dump());
  store_.PutJson("op/config", Json{{"version", 1},
                                   {"routes", routes},
                                   {"services", services},
                                   {"limits", limits}}
                                  .dump());
}

// Answers each request with the size of its body.
void CrowdHost::Serve(RawConnection& connection) {
  while (true) {
    const std::string request = connection.ReadMessage();
    if (request.empty()) {
      return;
    }
    const std::size_t head = request.find("\r\n\r\n") + 4;
    const std::string id =
        ValueOf(std::string_view(request).substr(0, head), kCallHeader);
    if (!id.empty()) {
      const std::lock_guard lock(mutex_);
      run_.insert(id);
    }
    const std::string named = id.empty() ? "" : kCallHeader + id + "\r\n";
    connection.Send(OkAnswer(std::to_string(request.size() - head),
                             named +
                                 "X-Damasktack-Instance-Id: i-0\r\n"
                                 "X-Damasktack-Server-Load: 0,0,6,100\r\n"));
  }
}

std::string CrowdHost::Ask(const std::string& request) const {
  RawConnection caller = RawConnection::To(callers_);
  caller.Send(request);
  return caller.ReadMessage();
}

std::size_t CrowdHost::PeakBytes() const {
  std::ifstream status("/proc/" + std::to_string(process_->pid()) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::strtoul(line.c_str() + 6, nullptr, 10) << 10;
    }
  }
  return 0;
}

std::size_t CrowdHost::OpenDescriptors() const {
  std::error_code ec;
  const std::filesystem::directory_iterator descriptors(
      "/proc/" + std::to_string(process_->pid()) + "/fd", ec);
  return static_cast<std::size_t>(
      std::distance(begin(descriptors), end(descriptors)));
}

bool CrowdHost::HasRun(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  return run_.contains(id);
}

}  // namespace damasktack
