#include <pthread.h>
#include <signal.h>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

#include "core/host_state.h"
#include "main/daemon.h"
#include "main/daemon_options.h"
#include "main/store_daemon.h"
#include "main/version.h"
#include "policy/call_outcome.h"
#include "policy/endpoint_state.h"

namespace {

namespace po = boost::program_options;
using damasktack::Error;

using damasktack::DaemonExit;

int Report(const Error& error, DaemonExit code) {
  std::cerr << "damasktack: " << error << "\n";
  return static_cast<int>(code);
}

constexpr int kExitOk = static_cast<int>(DaemonExit::kDone);

// Blocks the signals in this thread and all later ones, so that the one that
// waits for them gets them. Called before anything else: a signal that came
// while the host started or stopped was taken by a thread that did not block it
// and ended the process, with calls in hand.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

// An unsound chart ends the process here and not at the first call.
void BindCharts() {
  damasktack::GetHostChart();
  damasktack::GetEndpointChart();
  damasktack::GetCallChart();
}

// Settings that cannot be read leave the running ones in force.
void ReloadFrom(const std::string& path, damasktack::StoreDaemon& daemon) {
  const auto fault =
      damasktack::CaptureError([&]() -> damasktack::leaf::result<void> {
        BOOST_LEAF_AUTO(settings, damasktack::LoadSettings(path));
        daemon.Reload(settings);
        return {};
      });
  if (fault) {
    spdlog::error("event=reload-refused {}", damasktack::ToString(*fault));
  }
}

// The settings of this kind of daemon hold nothing that a running one takes
// in; the signal must not end it all the same.
void ReloadFrom(const std::string& path, damasktack::Daemon& /*daemon*/) {
  spdlog::info("event=reload-ignored settings={}", path);
}

// Returns when the process is to end.
template <typename Host>
void ServeUntilStopped(const sigset_t& signals,
                       const std::string& path,
                       Host& daemon) {
  int signal_number = SIGHUP;
  sigwait(&signals, &signal_number);
  while (signal_number == SIGHUP) {
    ReloadFrom(path, daemon);
    sigwait(&signals, &signal_number);
  }
  daemon.Stop();
}

// Lines wait in a bounded queue for a thread of their own, and the oldest are
// dropped where standard output takes no more: a reader that has stalled must
// not delay a call.
void LogWithoutBlocking() {
  constexpr std::size_t kQueuedLines = 4096;
  spdlog::init_thread_pool(kQueuedLines, 1);
  spdlog::set_default_logger(
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("damasktack"));
}

// Writes the last lines. Where standard output takes no more, the logging
// thread is stuck in its write and would never be joined: the process stayed
// until the platform killed it. Nothing else is left to do by now, so it ends
// without these lines.
void EndLogging(int code) {
  static constexpr std::chrono::milliseconds kForLastLines(300);
  std::thread([code] {
    std::this_thread::sleep_for(kForLastLines);
    std::_Exit(code);
  }).detach();
  spdlog::shutdown();
}

template <typename Host>
int Serve(damasktack::Settings settings,
          const std::string& path,
          const sigset_t& signals) {
  Host daemon(std::move(settings));
  return damasktack::Try(
      [&]() -> damasktack::leaf::result<int> {
        BOOST_LEAF_CHECK(daemon.Start());
        ServeUntilStopped(signals, path, daemon);
        return kExitOk;
      },
      [](const Error& error) { return Report(error, DaemonExit::kFailed); });
}

template <typename Host>
int Run(damasktack::Settings settings,
        const std::string& path,
        const sigset_t& signals) {
  LogWithoutBlocking();
  if (settings.log_debug) {
    spdlog::set_level(spdlog::level::debug);
  }
  const int code = Serve<Host>(std::move(settings), path, signals);
  EndLogging(code);
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  const sigset_t signals = BlockStopSignals();
  const po::options_description options = damasktack::DaemonOptions();
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
    po::notify(given);
  } catch (const po::error& usage) {
    return Report(Error{damasktack::ErrorKind::kUsage, "command line",
                        usage.what(), "see damasktack --help"},
                  DaemonExit::kBadSettings);
  }
  if (given.count("help") > 0) {
    std::cout << options;
    return kExitOk;
  }
  if (given.count("version") > 0) {
    std::cout << "damasktack " << damasktack::kVersion << "\n";
    return kExitOk;
  }
  BindCharts();
  return damasktack::Try(
      [&]() -> damasktack::leaf::result<int> {
        if (given.count("settings") == 0) {
          return damasktack::Fail(damasktack::ErrorKind::kUsage, "--settings",
                                  "nothing",
                                  "name the settings file with --settings "
                                  "FILE; examples/ holds one to begin with");
        }
        const auto path = given["settings"].as<std::string>();
        BOOST_LEAF_AUTO(settings, damasktack::LoadSettings(path));
        if (given.count("check-settings") > 0) {
          std::cout << "settings are sound: " << path << "\n";
          return kExitOk;
        }
        return settings.store.enabled ? Run<damasktack::StoreDaemon>(
                                            std::move(settings), path, signals)
                                      : Run<damasktack::Daemon>(
                                            std::move(settings), path, signals);
      },
      [](const Error& error) {
        return Report(error, DaemonExit::kBadSettings);
      });
}
