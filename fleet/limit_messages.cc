#include "fleet/limit_messages.h"

#include <limits>

#include "fleet/message_json.h"

namespace damasktack {

namespace {

constexpr std::int64_t kLargestAmount =
    std::numeric_limits<std::int64_t>::max() / 4;

template <typename Tag>
void ReadId(JsonReader& reader, std::string_view key, StrongId<Tag>& out) {
  std::string text;
  reader.Read(key, text);
  out = StrongId<Tag>(std::move(text));
}

void ReadKind(JsonReader& reader, LimitKind& out) {
  std::size_t index = 0;
  reader.ReadChoice(
      "kind", {ToString(LimitKind::kRate), ToString(LimitKind::kInFlight)},
      index);
  out = static_cast<LimitKind>(index);
}

// Durations travel as nanoseconds: FormatDuration is for people.
void ReadNanoseconds(JsonReader& reader, std::string_view key, Duration& out) {
  std::int64_t count = 0;
  reader.Read(key, count, 0, kLargestAmount);
  out = Duration(count);
}

}  // namespace

std::string_view ToString(LimitKind kind) {
  switch (kind) {
    case LimitKind::kRate:
      return "rate";
    case LimitKind::kInFlight:
      return "in-flight";
  }
  return "unknown";
}

Json CountedHost::ToJson() const {
  return Json{{"host", host.text()}, {"incarnation", incarnation}};
}

leaf::result<CountedHost> CountedHost::Parse(const Json& json,
                                             const std::string& path) {
  CountedHost item;
  JsonReader reader(json, path);
  ReadId(reader, "host", item.host);
  reader.Read("incarnation", item.incarnation);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return item;
}

Json CountRequest::ToJson() const {
  return Json::object();
}

leaf::result<CountRequest> CountRequest::Parse(const Json& json,
                                               const std::string& path) {
  JsonReader reader(json, path);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return CountRequest{};
}

Json CountAck::ToJson() const {
  return Json{{"asker", asker},
              {"owner", owner},
              {"counted", detail::ListToJson(counted)}};
}

leaf::result<CountAck> CountAck::Parse(const Json& json,
                                       const std::string& path) {
  CountAck message;
  JsonReader reader(json, path);
  reader.Read("asker", message.asker);
  reader.ReadOptional("owner", message.owner);
  detail::ReadList(reader, "counted", message.counted);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json GoneHosts::ToJson() const {
  return Json{{"gone", detail::ListToJson(gone)}};
}

leaf::result<GoneHosts> GoneHosts::Parse(const Json& json,
                                         const std::string& path) {
  GoneHosts message;
  JsonReader reader(json, path);
  detail::ReadList(reader, "gone", message.gone);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json LendRequestItem::ToJson() const {
  return Json{{"lease", lease},
              {"renewal", renewal},
              {"customer", customer.text()},
              {"kind", ToString(kind)},
              {"amount", amount}};
}

leaf::result<LendRequestItem> LendRequestItem::Parse(const Json& json,
                                                     const std::string& path) {
  LendRequestItem item;
  JsonReader reader(json, path);
  reader.Read("lease", item.lease);
  reader.Read("renewal", item.renewal);
  ReadId(reader, "customer", item.customer);
  ReadKind(reader, item.kind);
  reader.Read("amount", item.amount, 0, kLargestAmount);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return item;
}

Json LendRequest::ToJson() const {
  return Json{{"items", detail::ListToJson(items)}};
}

leaf::result<LendRequest> LendRequest::Parse(const Json& json,
                                             const std::string& path) {
  LendRequest message;
  JsonReader reader(json, path);
  detail::ReadList(reader, "items", message.items);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json LendGrantItem::ToJson() const {
  return Json{{"lease", lease},
              {"renewal", renewal},
              {"customer", customer.text()},
              {"kind", ToString(kind)},
              {"amount", amount},
              {"lasts", lasts.count()},
              {"longest_call", longest_call.count()}};
}

leaf::result<LendGrantItem> LendGrantItem::Parse(const Json& json,
                                                 const std::string& path) {
  LendGrantItem item;
  JsonReader reader(json, path);
  reader.Read("lease", item.lease);
  reader.Read("renewal", item.renewal);
  ReadId(reader, "customer", item.customer);
  ReadKind(reader, item.kind);
  reader.Read("amount", item.amount, 0, kLargestAmount);
  ReadNanoseconds(reader, "lasts", item.lasts);
  ReadNanoseconds(reader, "longest_call", item.longest_call);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return item;
}

Json LendGrant::ToJson() const {
  return Json{{"items", detail::ListToJson(items)}};
}

leaf::result<LendGrant> LendGrant::Parse(const Json& json,
                                         const std::string& path) {
  LendGrant message;
  JsonReader reader(json, path);
  detail::ReadList(reader, "items", message.items);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json LendReturn::ToJson() const {
  return Json{{"leases", leases}};
}

leaf::result<LendReturn> LendReturn::Parse(const Json& json,
                                           const std::string& path) {
  LendReturn message;
  JsonReader reader(json, path);
  if (const Json* list = reader.Array("leases")) {
    for (const Json& it : *list) {
      if (!it.is_number_unsigned()) {
        reader.Refuse(ErrorKind::kWrongType, "leases", it.type_name(),
                      "send the numbers of leases");
        break;
      }
      message.leases.push_back(it.get<std::uint64_t>());
    }
  }
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

}  // namespace damasktack
