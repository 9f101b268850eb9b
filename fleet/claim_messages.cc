#include "fleet/claim_messages.h"

#include <array>
#include <utility>

#include "fleet/message_json.h"

namespace damasktack {

namespace {

constexpr std::array<std::string_view, 5> kVerdictNames = {
    "granted", "already-ran", "in-progress", "mismatch", "unavailable"};

template <typename Tag>
void ReadId(JsonReader& reader, std::string_view key, StrongId<Tag>& out) {
  std::string text;
  reader.Read(key, text);
  out = StrongId<Tag>(std::move(text));
}

void ReadBucket(JsonReader& reader, std::int64_t& out) {
  reader.Read("bucket", out, 0, kClaimBuckets - 1);
}

// Reads an object by its own Parse function.
template <typename Item>
void ReadItem(JsonReader& reader, std::string_view key, Item& out) {
  if (const Json* json = reader.Object(key)) {
    Try(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_ASSIGN(out, Item::Parse(*json, reader.PathOf(key)));
          return {};
        },
        [&](const Error& error) { reader.Adopt(error); });
  }
}

template <typename Item>
void ReadOptionalItem(JsonReader& reader,
                      std::string_view key,
                      std::optional<Item>& out) {
  if (reader.OptionalObject(key) != nullptr) {
    ReadItem(reader, key, out.emplace());
  }
}

// Only a final answer is kept.
constexpr std::int64_t kFirstFinalStatus = 200;
constexpr std::int64_t kLastFinalStatus = 599;

// The body is encoded as binary, as it may hold any bytes and CBOR text must be
// UTF-8.
Json AnswerToJson(const StoredAnswer& answer) {
  const std::vector<std::uint8_t> body(answer.body.begin(), answer.body.end());
  Json json{{"status", answer.status}, {"body", Json::binary(body)}};
  if (!answer.content_type.empty()) {
    json["content_type"] = answer.content_type;
  }
  return json;
}

void ReadAnswer(JsonReader& reader, std::optional<StoredAnswer>& out) {
  const Json* json = reader.OptionalObject("answer");
  if (json == nullptr) {
    return;
  }
  StoredAnswer answer;
  std::int64_t status = 0;
  JsonReader nested(*json, reader.PathOf("answer"));
  nested.Read("status", status, kFirstFinalStatus, kLastFinalStatus);
  nested.ReadOptional("content_type", answer.content_type);
  const auto body = json->find("body");
  if (body == json->end() || !body->is_binary()) {
    nested.Refuse(ErrorKind::kWrongType, "body", "not a byte string",
                  "send the body as a byte string");
  } else {
    const auto& bytes = body->get_binary();
    answer.body.assign(bytes.begin(), bytes.end());
  }
  answer.status = static_cast<int>(status);
  Try([&] { return nested.FinishIgnoringUnknown(); },
      [&](const Error& error) { reader.Adopt(error); });
  out = std::move(answer);
}

}  // namespace

Json ClaimBallot::ToJson() const {
  Json json{{"counter", counter}, {"incarnation", incarnation}};
  // The host is left out of a ballot with counter 0, as an empty id would be
  // refused by the reader.
  if (!host.empty()) {
    json["host"] = host.text();
  }
  return json;
}

leaf::result<ClaimBallot> ClaimBallot::Parse(const Json& json,
                                             const std::string& path) {
  ClaimBallot item;
  JsonReader reader(json, path);
  std::string host;
  reader.Read("counter", item.counter);
  reader.ReadOptional("host", host);
  item.host = HostId(host);
  reader.Read("incarnation", item.incarnation);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return item;
}

Json ClaimReplicas::ToJson() const {
  return Json{{"bucket", bucket},
              {"ballot", ballot.ToJson()},
              {"first", primary.text()},
              {"second", secondary.text()}};
}

leaf::result<ClaimReplicas> ClaimReplicas::Parse(const Json& json,
                                                 const std::string& path) {
  ClaimReplicas message;
  JsonReader reader(json, path);
  ReadBucket(reader, message.bucket);
  ReadItem(reader, "ballot", message.ballot);
  ReadId(reader, "first", message.primary);
  ReadId(reader, "second", message.secondary);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json ClaimRecord::ToJson() const {
  Json json{{"customer", customer.text()},
            {"key", key},
            {"digest", request_digest},
            {"claim", claim},
            {"ended", ended},
            {"age", age.count()}};
  if (answer) {
    json["answer"] = AnswerToJson(*answer);
  }
  return json;
}

leaf::result<ClaimRecord> ClaimRecord::Parse(const Json& json,
                                             const std::string& path) {
  ClaimRecord item;
  std::int64_t age = 0;
  JsonReader reader(json, path);
  ReadId(reader, "customer", item.customer);
  reader.Read("key", item.key);
  reader.Read("digest", item.request_digest);
  reader.Read("claim", item.claim);
  reader.ReadOptional("ended", item.ended);
  reader.ReadOptional("age", age, 0, std::int64_t{1} << 60);
  ReadAnswer(reader, item.answer);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  item.age = Duration(age);
  return item;
}

Json TakeoverRequest::ToJson() const {
  return Json{{"bucket", bucket}, {"ballot", ballot.ToJson()}};
}

leaf::result<TakeoverRequest> TakeoverRequest::Parse(const Json& json,
                                                     const std::string& path) {
  TakeoverRequest message;
  JsonReader reader(json, path);
  ReadBucket(reader, message.bucket);
  ReadItem(reader, "ballot", message.ballot);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json TakeoverReply::ToJson() const {
  return Json{{"bucket", bucket},
              {"ballot", ballot.ToJson()},
              {"promised", promised.ToJson()},
              {"accepted", accepted.ToJson()},
              {"counted", counted},
              {"records", detail::ListToJson(records)}};
}

leaf::result<TakeoverReply> TakeoverReply::Parse(const Json& json,
                                                 const std::string& path) {
  TakeoverReply message;
  JsonReader reader(json, path);
  ReadBucket(reader, message.bucket);
  ReadItem(reader, "ballot", message.ballot);
  ReadItem(reader, "promised", message.promised);
  ReadItem(reader, "accepted", message.accepted);
  reader.ReadOptional("counted", message.counted);
  detail::ReadList(reader, "records", message.records);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json ReplicaInstall::ToJson() const {
  return Json{{"keepers", replicas.ToJson()},
              {"records", detail::ListToJson(records)}};
}

leaf::result<ReplicaInstall> ReplicaInstall::Parse(const Json& json,
                                                   const std::string& path) {
  ReplicaInstall message;
  JsonReader reader(json, path);
  ReadItem(reader, "keepers", message.replicas);
  detail::ReadList(reader, "records", message.records);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json ReplicaInstalled::ToJson() const {
  return Json{{"bucket", bucket}, {"ballot", ballot.ToJson()}};
}

leaf::result<ReplicaInstalled> ReplicaInstalled::Parse(
    const Json& json,
    const std::string& path) {
  ReplicaInstalled message;
  JsonReader reader(json, path);
  ReadBucket(reader, message.bucket);
  ReadItem(reader, "ballot", message.ballot);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json GrantRequest::ToJson() const {
  return Json{{"bucket", bucket},
              {"ballot", ballot.ToJson()},
              {"wish", request.ToJson()}};
}

leaf::result<GrantRequest> GrantRequest::Parse(const Json& json,
                                               const std::string& path) {
  GrantRequest message;
  JsonReader reader(json, path);
  ReadBucket(reader, message.bucket);
  ReadItem(reader, "ballot", message.ballot);
  ReadItem(reader, "wish", message.request);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json GrantReply::ToJson() const {
  Json json{{"bucket", bucket},
            {"ballot", ballot.ToJson()},
            {"customer", customer.text()},
            {"key", key},
            {"claim", claim},
            {"verdict", kVerdictNames[static_cast<std::size_t>(verdict)]}};
  if (answer) {
    json["answer"] = AnswerToJson(*answer);
  }
  if (replicas) {
    json["keepers"] = replicas->ToJson();
  }
  return json;
}

leaf::result<GrantReply> GrantReply::Parse(const Json& json,
                                           const std::string& path) {
  GrantReply message;
  std::size_t verdict = 0;
  JsonReader reader(json, path);
  ReadBucket(reader, message.bucket);
  ReadItem(reader, "ballot", message.ballot);
  ReadId(reader, "customer", message.customer);
  reader.Read("key", message.key);
  reader.Read("claim", message.claim);
  reader.ReadChoice("verdict", {kVerdictNames.begin(), kVerdictNames.end()},
                    verdict);
  ReadAnswer(reader, message.answer);
  ReadOptionalItem(reader, "keepers", message.replicas);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  message.verdict = static_cast<ClaimVerdict>(verdict);
  return message;
}

Json ClaimSettle::ToJson() const {
  return Json{{"bucket", bucket},
              {"ballot", ballot.ToJson()},
              {"record", record.ToJson()}};
}

leaf::result<ClaimSettle> ClaimSettle::Parse(const Json& json,
                                             const std::string& path) {
  ClaimSettle message;
  JsonReader reader(json, path);
  ReadBucket(reader, message.bucket);
  ReadItem(reader, "ballot", message.ballot);
  ReadItem(reader, "record", message.record);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json ClaimSettled::ToJson() const {
  Json json{
      {"ballot", ballot.ToJson()}, {"claim", claim}, {"refused", refused}};
  if (replicas) {
    json["keepers"] = replicas->ToJson();
  }
  return json;
}

leaf::result<ClaimSettled> ClaimSettled::Parse(const Json& json,
                                               const std::string& path) {
  ClaimSettled message;
  JsonReader reader(json, path);
  ReadItem(reader, "ballot", message.ballot);
  reader.Read("claim", message.claim);
  reader.ReadOptional("refused", message.refused);
  ReadOptionalItem(reader, "keepers", message.replicas);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

}  // namespace damasktack
