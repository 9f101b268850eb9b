#include "main/fleet_settings.h"

#include "main/file_text.h"

namespace damasktack {

namespace {

constexpr std::size_t kMinKeyLength = 16;

leaf::result<void> LoadKey(FleetSettings& fleet) {
  if (fleet.key.empty() == fleet.key_file.empty()) {
    return Fail(ErrorKind::kMissingKey, "fleet.key",
                fleet.key.empty() ? "neither key nor key_file"
                                  : "both key and key_file",
                "set one of fleet.key and fleet.key_file");
  }
  if (!fleet.key_file.empty()) {
    BOOST_LEAF_ASSIGN(fleet.key, ReadTokenFile(fleet.key_file));
  }
  if (fleet.key.size() < kMinKeyLength) {
    return Fail(ErrorKind::kOutOfRange, "fleet.key",
                std::to_string(fleet.key.size()) + " characters",
                "use at least 16 characters, as from openssl rand -hex 32");
  }
  return {};
}

}  // namespace

leaf::result<void> CompleteFleetSettings(FleetSettings& fleet) {
  if (fleet.silence < 2 * fleet.heartbeat) {
    return Fail(ErrorKind::kOutOfRange, "fleet.silence",
                FormatDuration(fleet.silence),
                "use at least twice fleet.heartbeat, so that one lost "
                "heartbeat does not separate two hosts");
  }
  return LoadKey(fleet);
}

}  // namespace damasktack
