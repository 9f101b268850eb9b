#include "fleet/relay_messages.h"

#include <utility>

#include "fleet/message_json.h"

namespace damasktack {

namespace {

using detail::ListToJson;
using detail::ReadList;

}  // namespace

Json RelayOffers::Offer::ToJson() const {
  Json services = Json::array();
  for (const ServiceId& it : unreachable) {
    if (services.size() < kMaxUnreachable) {
      services.push_back(it.text());
    }
  }
  return Json{{"host", host.ToJson()},
              {"unreachable", std::move(services)},
              {"withdrawn", is_withdrawn}};
}

leaf::result<RelayOffers::Offer> RelayOffers::Offer::Parse(
    const Json& json,
    const std::string& path) {
  Offer offer;
  std::vector<std::string> services;
  JsonReader reader(json, path);
  const Json* host = reader.Object("host");
  reader.ReadOptional("unreachable", services);
  reader.ReadOptional("withdrawn", offer.is_withdrawn);
  const std::string host_path = reader.PathOf("host");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  BOOST_LEAF_ASSIGN(offer.host, RelayHost::Parse(*host, host_path));
  if (services.size() > kMaxUnreachable) {
    services.resize(kMaxUnreachable);
  }
  for (std::string& it : services) {
    offer.unreachable.emplace_back(std::move(it));
  }
  return offer;
}

Json RelayOffers::ToJson() const {
  return Json{{"offers", ListToJson(offers)}};
}

leaf::result<RelayOffers> RelayOffers::Parse(const Json& json,
                                             const std::string& path) {
  RelayOffers message;
  JsonReader reader(json, path);
  ReadList(reader, "offers", message.offers);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json RelayPeers::ToJson() const {
  return Json{{"hosts", ListToJson(hosts)}};
}

leaf::result<RelayPeers> RelayPeers::Parse(const Json& json,
                                           const std::string& path) {
  RelayPeers message;
  JsonReader reader(json, path);
  ReadList(reader, "hosts", message.hosts);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

}  // namespace damasktack
