#include "fleet/relay_host.h"

#include <utility>

namespace damasktack {

Json RelayHost::ToJson() const {
  return Json{{"host", host.text()},
              {"zone", zone.text()},
              {"address", ToString(address)}};
}

leaf::result<RelayHost> RelayHost::Parse(const Json& json,
                                         const std::string& path) {
  RelayHost out;
  std::string host;
  std::string zone;
  JsonReader reader(json, path);
  reader.Read("host", host);
  reader.Read("zone", zone);
  reader.Read("address", out.address);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  out.host = HostId(std::move(host));
  out.zone = ZoneId(std::move(zone));
  return out;
}

}  // namespace damasktack
