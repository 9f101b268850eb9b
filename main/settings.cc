#include "main/settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "main/file_text.h"
#include "main/settings_describer.h"
#include "main/settings_sections.h"

namespace damasktack {

namespace {

constexpr std::size_t kMinTokenLength = 16;

leaf::result<void> CheckAdminAddress(const AdminOptions& admin) {
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(admin.listen.ip, ec);
  if (!ec && (address.is_loopback() || admin.allow_remote)) {
    return {};
  }
  return Fail(ErrorKind::kOutOfRange, "admin.listen", ToString(admin.listen),
              "use a loopback address such as 127.0.0.1, or set "
              "admin.allow_remote to true where the network is trusted");
}

leaf::result<void> CheckSource(const Settings& settings) {
  if (settings.platform.enabled != settings.store.enabled) {
    return {};
  }
  if (settings.store.enabled) {
    return Fail(ErrorKind::kDuplicate, "store", "platform and store",
                "keep the section of the service that this deployment has");
  }
  return Fail(ErrorKind::kMissingKey, "platform", "nothing",
              "add the section platform, or store where routes and endpoints "
              "are published in a key-value store");
}

leaf::result<void> CheckRelays(const Settings& settings) {
  const bool has_peers = settings.store.enabled && settings.fleet.enabled;
  if (!settings.proxy.relay.enabled() || has_peers) {
    return {};
  }
  return Fail(ErrorKind::kOutOfRange, "proxy.relay_listen",
              "a host without the sections store and fleet",
              "remove proxy.relay_listen: this host has no peers that relay "
              "calls");
}

leaf::result<void> LoadToken(AdminOptions& admin) {
  if (admin.public_only) {
    return {};
  }
  if (admin.token.empty() == admin.token_file.empty()) {
    return Fail(ErrorKind::kMissingKey, "admin.token",
                admin.token.empty() ? "nothing" : "token and token_file",
                "set either admin.token or admin.token_file");
  }
  if (!admin.token_file.empty()) {
    BOOST_LEAF_ASSIGN(admin.token, ReadTokenFile(admin.token_file));
  }
  if (admin.token.size() < kMinTokenLength) {
    return Fail(ErrorKind::kOutOfRange, "admin.token",
                std::to_string(admin.token.size()) + " characters",
                "use at least " + std::to_string(kMinTokenLength) +
                    " characters, as from openssl rand -hex 16");
  }
  return {};
}

// Removes the quoted text from a parse error, since the text near the error may
// be the token.
Error WithoutQuotedText(Error error) {
  const std::size_t quoted = error.found.find("; last read");
  if (error.kind == ErrorKind::kInvalidJson && quoted != std::string::npos) {
    error.found.resize(quoted);
  }
  return error;
}

leaf::result<Json> ParseWithoutQuotes(std::string_view text,
                                      std::string_view where) {
  Json json;
  const std::optional<Error> error = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(json, ParseJson(text, where));
    return {};
  });
  if (error) {
    return leaf::new_error(WithoutQuotedText(*error));
  }
  return json;
}

Duration PartOfGraceTime(const StopOptions& stop, double fraction) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(stop.grace_seconds * fraction));
}

}  // namespace

// A fixed time would abort calls that endpoints still process although the
// platform waits longer; a twelfth of the platform's grace period is reserved
// for ending the process on a busy host.
Duration MaxStopTime(const StopOptions& stop) {
  constexpr double kUsableFraction = 11.0 / 12;
  return stop.grace_seconds <= 0 ? stop.lag + stop.longest
                                 : PartOfGraceTime(stop, kUsableFraction);
}

// Half of the reserved time: a handover that peers do not answer must not last
// until the platform kills the process.
Duration MaxHandoverTime(const StopOptions& stop, Duration elapsed) {
  constexpr Duration kMaxHandover = std::chrono::seconds(3);
  constexpr double kUsableFraction = 23.0 / 24;
  if (stop.grace_seconds <= 0) {
    return kMaxHandover;
  }
  return std::clamp(PartOfGraceTime(stop, kUsableFraction) - elapsed,
                    Duration::zero(), kMaxHandover);
}

leaf::result<Settings> ParseSettings(std::string_view text,
                                     std::string_view where) {
  BOOST_LEAF_AUTO(json, ParseWithoutQuotes(text, where));
  Settings settings;
  SettingsReader reader(json, "");
  detail::VisitSettings(reader, settings);
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_CHECK(CheckSource(settings));
  BOOST_LEAF_CHECK(CheckRelays(settings));
  BOOST_LEAF_CHECK(CheckAdminAddress(settings.admin));
  BOOST_LEAF_CHECK(LoadToken(settings.admin));
  if (settings.fleet.enabled) {
    BOOST_LEAF_CHECK(CompleteFleetSettings(settings.fleet));
  }
  settings.proxy.balancer.table.host = settings.host;
  settings.proxy.balancer.table.zone = settings.zone;
  settings.proxy.measured.host = settings.host;
  settings.proxy.measured.zone = settings.zone;
  settings.proxy.measured.retries = settings.proxy.balancer.retries;
  // Hosts share one retry budget here, so the credit that each host earns while
  // idle would add up across the fleet.
  settings.proxy.measured.retries.idle_refill = std::chrono::hours(1);
  return settings;
}

leaf::result<Settings> LoadSettings(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadWholeFile(path,
                                      "specify an existing settings file with "
                                      "--settings FILE"));
  return ParseSettings(text, path);
}

std::vector<SettingDescription> DescribeSettings() {
  Settings defaults;
  SettingsDescriber describer("");
  detail::VisitSettings(describer, defaults);
  return describer.descriptions();
}

}  // namespace damasktack
