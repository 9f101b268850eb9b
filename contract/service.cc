#include "contract/service.h"

namespace damasktack {

namespace {

constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr double kMaxProbesPerSecond = 1e6;

const std::vector<std::string_view> kListedStateNames = {"live", "leaving"};

EndpointSpec ReadEndpoint(const Json& json,
                          const std::string& path,
                          JsonReader& parent) {
  EndpointSpec endpoint;
  std::string id;
  std::string zone;
  auto state = static_cast<std::size_t>(ListedState::kLive);
  JsonReader reader(json, path);
  reader.Read("id", id);
  reader.Read("address", endpoint.address);
  reader.Read("zone", zone);
  reader.Read("slots", endpoint.slots, 1, kMaxSlots);
  reader.ReadOptional("connections", endpoint.connections, 1, kMaxConnections);
  reader.ReadOptionalChoice("state", kListedStateNames, state);
  Try([&] { return reader.Finish(); },
      [&](const Error& error) { parent.Adopt(error); });
  endpoint.id = EndpointId(id);
  endpoint.zone = ZoneId(zone);
  endpoint.state = static_cast<ListedState>(state);
  return endpoint;
}

Json ToJson(const EndpointSpec& endpoint) {
  return Json{{"id", endpoint.id.text()},
              {"address", ToString(endpoint.address)},
              {"zone", endpoint.zone.text()},
              {"slots", endpoint.slots},
              {"connections", endpoint.connections},
              {"state", ToString(endpoint.state)}};
}

}  // namespace

std::string_view ToString(ListedState state) {
  return kListedStateNames[static_cast<std::size_t>(state)];
}

leaf::result<ServiceSpec> ParseService(const Json& json,
                                       const std::string& path) {
  ServiceSpec service;
  std::string id;
  JsonReader reader(json, path);
  reader.Read("id", id);
  reader.Read("prefix", service.prefix);
  reader.ReadOptional("probes_per_second", service.probes_per_second, 0,
                      kMaxProbesPerSecond);
  reader.ReadOptional("echoes_call", service.echoes_call);
  if (const Json* endpoints = reader.Array("endpoints")) {
    for (std::size_t n = 0; n < endpoints->size(); ++n) {
      const std::string endpoint_path =
          reader.PathOf("endpoints") + "[" + std::to_string(n) + "]";
      service.endpoints.push_back(
          ReadEndpoint((*endpoints)[n], endpoint_path, reader));
    }
  }
  if (!service.prefix.starts_with('/') || service.prefix.ends_with('/')) {
    reader.Refuse(ErrorKind::kOutOfRange, "prefix", service.prefix,
                  "start the prefix with / and end it without, as in "
                  "\"/dispatch\"");
  }
  BOOST_LEAF_CHECK(reader.Finish());
  service.id = ServiceId(id);
  return service;
}

Json ToJson(const ServiceSpec& service) {
  Json endpoints = Json::array();
  for (const EndpointSpec& it : service.endpoints) {
    endpoints.push_back(ToJson(it));
  }
  return Json{{"id", service.id.text()},
              {"prefix", service.prefix},
              {"probes_per_second", service.probes_per_second},
              {"echoes_call", service.echoes_call},
              {"endpoints", endpoints}};
}

leaf::result<HostSpec> ParseHost(const Json& json, const std::string& path) {
  HostSpec host;
  std::string id;
  std::string zone;
  auto state = static_cast<std::size_t>(ListedState::kLive);
  JsonReader reader(json, path);
  reader.Read("id", id);
  reader.Read("peer_address", host.peer_address);
  reader.Read("zone", zone);
  reader.ReadOptionalChoice("state", kListedStateNames, state);
  BOOST_LEAF_CHECK(reader.Finish());
  host.id = HostId(id);
  host.zone = ZoneId(zone);
  host.state = static_cast<ListedState>(state);
  return host;
}

Json ToJson(const HostSpec& host) {
  return Json{{"id", host.id.text()},
              {"peer_address", ToString(host.peer_address)},
              {"zone", host.zone.text()},
              {"state", ToString(host.state)}};
}

}  // namespace damasktack
