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

#include "core/heap.h"
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

// Blocks the signals in this thread and in all threads started later, so that
// only the thread that waits for them receives them. Must be called before
// anything else: a signal that arrived while the host was starting or stopping
// was otherwise delivered to a thread that did not block it and ended the
// process with calls in flight.
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

// Binds the state charts at the start, so that an invalid chart ends the
// process here and not at the first call.
void BindCharts() {
  damasktack::GetHostChart();
  damasktack::GetEndpointChart();
  damasktack::GetCallChart();
}

// Reloads the settings; if they are invalid the running ones stay in force.
void ReloadFrom(const std::string& path, damasktack::StoreDaemon& daemon) {
  const auto reload_error =
      damasktack::CaptureError([&]() -> damasktack::leaf::result<void> {
        BOOST_LEAF_AUTO(settings, damasktack::LoadSettings(path));
        daemon.Reload(settings);
        return {};
      });
  if (reload_error) {
    spdlog::error("event=reload-refused {}",
                  damasktack::ToString(*reload_error));
  }
}

// This kind of daemon has no settings that can be changed while it runs, but
// the signal must not end it.
void ReloadFrom(const std::string& path, damasktack::Daemon& /*daemon*/) {
  spdlog::info("event=reload-ignored settings={}", path);
}

// Returns when the process is to stop.
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

// Logs through a bounded queue and a separate thread, so that a stalled reader
// of standard output does not delay calls. When the queue is full, the oldest
// lines are dropped.
void LogWithoutBlocking() {
  constexpr std::size_t kQueuedLines = 4096;
  spdlog::init_thread_pool(kQueuedLines, 1);
  spdlog::set_default_logger(
      spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("damasktack"));
}

// Writes the remaining lines and ends logging. If standard output is blocked,
// the logging thread is stuck in its write and can never be joined, and the
// process used to stay until the platform killed it. Therefore the process
// exits without these lines after a timeout; nothing else is left to do by
// then.
void EndLogging(int code) {
  static constexpr std::chrono::milliseconds kFlushTimeout(300);
  std::thread([code] {
    std::this_thread::sleep_for(kFlushTimeout);
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
  damasktack::ReturnLargeBlocksWhenFreed();
  const po::options_description options = damasktack::DaemonOptions();
  po::variables_map arguments;
  try {
    po::store(po::parse_command_line(argc, argv, options), arguments);
    po::notify(arguments);
  } catch (const po::error& exception) {
    return Report(Error{damasktack::ErrorKind::kUsage, "command line",
                        exception.what(), "see damasktack --help"},
                  DaemonExit::kBadSettings);
  }
  if (arguments.count("help") > 0) {
    std::cout << options;
    return kExitOk;
  }
  if (arguments.count("version") > 0) {
    std::cout << "damasktack " << damasktack::kVersion << "\n";
    return kExitOk;
  }
  BindCharts();
  return damasktack::Try(
      [&]() -> damasktack::leaf::result<int> {
        if (arguments.count("settings") == 0) {
          return damasktack::Fail(
              damasktack::ErrorKind::kUsage, "--settings", "nothing",
              "specify the settings file with --settings FILE; examples/ "
              "contains one");
        }
        const auto path = arguments["settings"].as<std::string>();
        BOOST_LEAF_AUTO(settings, damasktack::LoadSettings(path));
        if (arguments.count("check-settings") > 0) {
          std::cout << "settings are valid: " << path << "\n";
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
