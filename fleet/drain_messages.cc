#include "fleet/drain_messages.h"

namespace damasktack {

Json DrainObservation::ToJson() const {
  return Json{{"service", service.text()}, {"endpoint", endpoint.text()}};
}

leaf::result<DrainObservation> DrainObservation::Parse(
    const Json& json,
    const std::string& path) {
  std::string service;
  std::string endpoint;
  JsonReader reader(json, path);
  reader.Read("service", service);
  reader.Read("endpoint", endpoint);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return DrainObservation{ServiceId(service), EndpointId(endpoint)};
}

}  // namespace damasktack
