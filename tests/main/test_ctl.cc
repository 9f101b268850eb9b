#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "admin/admin_server.h"
#include "main/ctl.h"
#include "main/ctl_commands.h"
#include "tests/admin/fake_admin_source.h"

namespace damasktack {
namespace {

struct Run {
  int code = 0;
  std::string out;
  std::string err;
};

Run RunTool(const std::vector<std::string>& args) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCtl(args, out, err);
  return Run{code, out.str(), err.str()};
}

// A temporary file that is removed at the end of the test.
class ScratchFile {
 public:
  ScratchFile(const std::string& name, const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              (std::to_string(std::rand()) + name)) {
    std::ofstream(path_) << text;
  }
  ~ScratchFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

// A host with an administration API and a token file for it.
class Host {
 public:
  Host()
      : token_("token", std::string(kFakeToken) + "\n"),
        server_(Options(), source) {
    const bool started = Try(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(server_.Start());
          return true;
        },
        [](const Error&) { return false; });
    REQUIRE(started);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }
  std::string token_file() const { return token_.path(); }
  Run Query(std::vector<std::string> args) const {
    args.insert(args.end(),
                {"--host", address(), "--token-file", token_file()});
    return RunTool(args);
  }

  FakeAdminSource source;

 private:
  static AdminOptions Options() {
    AdminOptions options;
    options.listen = SocketAddress{"127.0.0.1", 0};
    options.token = kFakeToken;
    return options;
  }

  ScratchFile token_;
  AdminServer server_;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("every command has help, a summary and a unique name") {
  std::set<std::string_view> words;
  for (const CtlCommand& it : CtlCommands()) {
    CAPTURE(it.words);
    CHECK(words.insert(it.words).second);
    CHECK(!it.summary.empty());
    CHECK(!it.description.empty());
    const Run run = RunTool({"help", std::string(it.words)});
    CHECK(Contains(RunTool({"help"}).out, std::string(it.words)));
    std::istringstream split{std::string(it.words)};
    std::vector<std::string> args{"help"};
    for (std::string word; split >> word;) {
      args.push_back(word);
    }
    CHECK(Contains(RunTool(args).out, "--json"));
  }
}

TEST_CASE("wrong usage returns exit code 2 and a remedy") {
  for (const std::vector<std::string>& args :
       std::vector<std::vector<std::string>>{
           {},
           {"statu"},
           {"contract", "check"},
           {"contract", "diff", "one"},
           {"status"},
           {"status", "--hots", "127.0.0.1:1"},
           {"status", "--host", "127.0.0.1:1"},
           {"completion", "fish"}}) {
    const Run run = RunTool(args);
    CHECK(run.code == 2);
    CHECK(!run.err.empty());
  }
}

TEST_CASE("responses of hosts are shown as tables") {
  Host host;
  const Run status = host.Query({"status"});
  CHECK(status.code == 0);
  CHECK(Contains(status.out, "h1"));
  CHECK(Contains(status.out, "CONTRACTS"));
  const Run contracts = host.Query({"contracts"});
  CHECK(Contains(contracts.out, "rename it"));
  CHECK(Contains(contracts.out, "keepers"));
  CHECK(Contains(host.Query({"endpoints"}).out, "errors in bulk"));
  CHECK(Contains(host.Query({"customers"}).out, "50000"));
  CHECK(Contains(host.Query({"peers"}).out, "leaving"));
  CHECK(Contains(host.Query({"probes"}).out, "12"));
  const Run histogram = host.Query({"histogram"});
  CHECK(Contains(histogram.out, "keepers urgent: 10 calls, p50 2ms"));
  CHECK(Contains(histogram.out, "####"));
}

TEST_CASE("--json prints one JSON value, also for an error") {
  Host host;
  for (const char* it : {"status", "contracts", "endpoints", "customers",
                         "peers", "probes", "histogram"}) {
    CAPTURE(it);
    const Run run = host.Query({it, "--json"});
    CHECK(run.code == 0);
    CHECK(Json::parse(run.out)["hosts"].size() == 1);
  }
  const Run failed = RunTool({"status", "--json"});
  CHECK(Json::parse(failed.out)["error"]["kind"] == "usage");
}

TEST_CASE("hosts can be drained, undrained and declared gone") {
  Host host;
  CHECK(Contains(host.Query({"drain"}).out, "ready=false"));
  CHECK(!host.source.Ready());
  CHECK(Contains(host.Query({"drain", "--undo"}).out, "ready=true"));
  CHECK(host.source.Ready());
  CHECK(host.Query({"gone", "h2"}).code == 0);
  const Run unknown = host.Query({"gone", "h9"});
  CHECK(unknown.code == 3);
  CHECK(Contains(unknown.err, "name a peer that /v1/peers lists"));
}

// If one of two hosts is down, the operator still needs the state of the other,
// the name of the host that failed, and an exit code that tells that the result
// is incomplete.
TEST_CASE("a host that cannot be queried does not hide the others") {
  Host host;
  const Run run = host.Query({"status", "--host", "127.0.0.1:1"});
  CHECK(run.code == 3);
  CHECK(Contains(run.out, "h1"));
  CHECK(Contains(run.err, "unreachable at 127.0.0.1:1"));
}

TEST_CASE("a wrong token is rejected without showing it") {
  Host host;
  ScratchFile wrong("wrong", "not-the-token-of-this-host");
  const Run run = RunTool(
      {"status", "--host", host.address(), "--token-file", wrong.path()});
  CHECK(run.code == 3);
  CHECK(Contains(run.err, "unauthorized"));
  CHECK(!Contains(run.err + run.out, "not-the-token"));
}

TEST_CASE("compare prints the properties on which hosts differ") {
  Host one;
  Host two;
  const std::vector<std::string> args{"compare", one.address(), two.address(),
                                      "--token-file", one.token_file()};
  const Run same = RunTool(args);
  CHECK(same.code == 0);
  CHECK(Contains(same.out, "2 hosts agree"));
  two.source.SetDrained(true);
  const Run differ = RunTool(args);
  CHECK(differ.code == 1);
  CHECK(Contains(differ.out, "drained"));
  CHECK(!Contains(differ.out, "contracts revision"));
}

TEST_CASE("contract files are all checked, and compared") {
  ScratchFile good("good.json", R"({"contracts": [
    {"customer": "a", "share": 1, "requests": [{"service": "s"}]}]})");
  ScratchFile more("more.json", R"({"contracts": [
    {"customer": "a", "share": 3, "requests": [{"service": "s"}]},
    {"customer": "b", "requests": [{"service": "t"}]}]})");
  ScratchFile bad("bad.json", R"({"contracts": [{"customer": "a"}]})");
  ScratchFile services("services.json", R"({"services": [
    {"id": "s", "prefix": "/s", "endpoints": []}]})");
  CHECK(RunTool({"contract", "check", good.path(), services.path()}).code == 0);
  const Run checked = RunTool({"contract", "check", bad.path(), good.path()});
  CHECK(checked.code == 1);
  CHECK(Contains(checked.err, "contracts[0].requests"));
  CHECK(Contains(checked.out, "sound, 1 entries"));
  const Run unknown = RunTool(
      {"contract", "check", more.path(), "--services", services.path()});
  CHECK(unknown.code == 1);
  CHECK(Contains(unknown.err, "contracts[1].requests[0].service: t"));
  const Run diff = RunTool({"contract", "diff", good.path(), more.path()});
  CHECK(diff.code == 0);
  CHECK(Contains(diff.out, "75.0%"));
  CHECK(Contains(diff.out, "25.0%"));
  CHECK(RunTool({"contract", "check", "/nowhere"}).code == 1);
}

TEST_CASE("the manual pages equal the generated ones") {
  const std::string folder = std::string(DAMASKTACK_SOURCE_DIR) + "/docs/man/";
  const auto committed = [&](const std::string& name) {
    std::ifstream file(folder + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  };
  // If one differs, run damasktackctl help --man > docs/man/damasktackctl.1 and
  // damasktackctl help --man-daemon > docs/man/damasktack.8
  CHECK(committed("damasktackctl.1") == RunTool({"help", "--man"}).out);
  CHECK(committed("damasktack.8") == RunTool({"help", "--man-daemon"}).out);
}

TEST_CASE("the settings page equals the generated table") {
  std::ifstream file(std::string(DAMASKTACK_SOURCE_DIR) + "/docs/SETTINGS.md");
  std::ostringstream page;
  page << file.rdbuf();
  // If it differs, replace the table by the output of damasktackctl settings
  // describe.
  CHECK(Contains(page.str(), RunTool({"settings", "describe"}).out));
}

}  // namespace
}  // namespace damasktack
