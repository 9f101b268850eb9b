#include <signal.h>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "standin/deployment.h"
#include "standin/standin_control.h"
#include "standin/standin_fleet.h"

namespace {

namespace po = boost::program_options;
using damasktack::Error;
using damasktack::ErrorKind;
using damasktack::Fail;
namespace leaf = boost::leaf;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr auto kUsage =
    "usage: damasktack_standin documents --out DIR [--preset alentejo|cuyo]\n"
    "           [--hosts N] [--extra-contracts N]\n"
    "         writes to DIR the platform's documents, the settings of N "
    "hosts,\n"
    "         the stand-ins' configuration and a load plan, on free ports\n"
    "       damasktack_standin run --dir DIR\n"
    "         serves the platform, the endpoints and the control port that "
    "DIR\n"
    "         describes until SIGTERM; prints \"ready\" once all of them "
    "listen\n";

struct Arguments {
  std::string command;
  std::string out;
  std::string dir;
  std::string preset = "alentejo";
  damasktack::DeploymentOptions deployment;
};

leaf::result<Arguments> ParseArguments(int argc, char** argv) {
  Arguments arguments;
  po::options_description options;
  options.add_options()("command", po::value(&arguments.command))(
      "out", po::value(&arguments.out))("dir", po::value(&arguments.dir))(
      "preset", po::value(&arguments.preset))(
      "hosts", po::value(&arguments.deployment.hosts))(
      "extra-contracts", po::value(&arguments.deployment.extra_contracts))(
      "help,h", "show the usage");
  po::positional_options_description positional;
  positional.add("command", 1);
  po::variables_map given;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(options)
                  .positional(positional)
                  .run(),
              given);
    po::notify(given);
  } catch (const po::error& usage) {
    return Fail(ErrorKind::kUsage, "command line", usage.what(), kUsage);
  }
  if (given.count("help") > 0) {
    arguments.command = "help";
  }
  return arguments;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

leaf::result<int> WriteDocuments(Arguments arguments) {
  BOOST_LEAF_ASSIGN(arguments.deployment.preset,
                    damasktack::ParsePreset(arguments.preset));
  BOOST_LEAF_CHECK(damasktack::WriteDeployment(
      damasktack::MakeDeployment(arguments.deployment), arguments.out));
  return kExitOk;
}

leaf::result<int> RunStandins(const std::string& dir) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  const std::string path = dir + "/standin.json";
  BOOST_LEAF_AUTO(deployment,
                  damasktack::ParseStandinText(ReadFile(path), path));
  damasktack::StandinFleet fleet(deployment);
  for (const char* name : {"contracts", "services", "hosts"}) {
    fleet.platform().Publish(name, ReadFile(dir + "/" + name + ".json"));
  }
  BOOST_LEAF_CHECK(fleet.Start());
  damasktack::StandinControl control(fleet, deployment);
  control.Start(deployment.control_port);
  std::cout << "ready" << std::endl;
  int signal_number = 0;
  sigwait(&signals, &signal_number);
  return kExitOk;
}

leaf::result<int> RunCommand(const Arguments& arguments) {
  if (arguments.command == "documents" && !arguments.out.empty()) {
    return WriteDocuments(arguments);
  }
  if (arguments.command == "run" && !arguments.dir.empty()) {
    return RunStandins(arguments.dir);
  }
  const bool is_help = arguments.command == "help";
  (is_help ? std::cout : std::cerr) << kUsage;
  return is_help ? kExitOk : kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  return damasktack::Try(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(arguments, ParseArguments(argc, argv));
        return RunCommand(arguments);
      },
      [](const Error& error) {
        std::cerr << "damasktack_standin: " << error << "\n";
        return kExitFailed;
      });
}
