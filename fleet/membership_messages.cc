#include "fleet/membership_messages.h"

namespace damasktack {

Json Heartbeat::ToJson() const {
  return Json{{"hosts_revision", hosts_revision}, {"leaving", leaving}};
}

leaf::result<Heartbeat> Heartbeat::Parse(const Json& json,
                                         const std::string& path) {
  Heartbeat message;
  JsonReader reader(json, path);
  reader.Read("hosts_revision", message.hosts_revision);
  reader.ReadOptional("leaving", message.leaving);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json Goodbye::ToJson() const {
  return Json::object();
}

leaf::result<Goodbye> Goodbye::Parse(const Json& json,
                                     const std::string& path) {
  JsonReader reader(json, path);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return Goodbye{};
}

}  // namespace damasktack
