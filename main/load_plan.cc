#include "main/load_plan.h"

namespace damasktack {

namespace {

constexpr double kMinRate = 0.001;
constexpr double kMaxRate = 100'000;
constexpr Duration kMaxDuration = std::chrono::hours(1);
constexpr std::int64_t kMaxRepeats = 100;
constexpr std::int64_t kMaxInFlight = 20'000;
constexpr std::int64_t kMaxSeed = 1'000'000'000;

void ReadTime(JsonReader& reader,
              std::string_view key,
              std::optional<Duration>& out) {
  if (reader.Has(key)) {
    reader.Read(key, out.emplace(), Duration::zero(), kMaxDuration);
  }
}

leaf::result<LoadClass> ParseClass(const Json& json, const std::string& path) {
  LoadClass it;
  JsonReader reader(json, path);
  reader.Read("name", it.name);
  reader.Read("key", it.key);
  reader.ReadOptional("method", it.method);
  reader.Read("path", it.path);
  reader.Read("rate", it.rate, kMinRate, kMaxRate);
  reader.ReadOptional("start", it.start, Duration::zero(), kMaxDuration);
  ReadTime(reader, "duration", it.duration);
  ReadTime(reader, "deadline", it.deadline);
  reader.ReadOptional("idempotency_keys", it.idempotency_keys);
  reader.ReadOptional("repeats", it.repeats, 0, kMaxRepeats);
  reader.ReadOptional("doubled_percent", it.doubled_percent, 0, 100);
  reader.ReadOptional("expect_path", it.expect_path);
  BOOST_LEAF_CHECK(reader.Finish());
  return it;
}

leaf::result<LoadEntry> ParseEntry(const Json& json, const std::string& path) {
  LoadEntry it;
  JsonReader reader(json, path);
  reader.Read("callers", it.callers);
  if (reader.Has("admin")) {
    reader.Read("admin", it.admin.emplace());
  }
  BOOST_LEAF_CHECK(reader.Finish());
  return it;
}

template <typename Item, typename ParseOne>
leaf::result<std::vector<Item>> ParseItems(const Json& list,
                                           const std::string& path,
                                           ParseOne parse_one) {
  std::vector<Item> items;
  for (std::size_t n = 0; n < list.size(); ++n) {
    BOOST_LEAF_AUTO(item,
                    parse_one(list[n], path + "[" + std::to_string(n) + "]"));
    items.push_back(std::move(item));
  }
  if (items.empty()) {
    return Fail(ErrorKind::kOutOfRange, path, "an empty list",
                "list at least one");
  }
  return items;
}

}  // namespace

leaf::result<LoadPlan> ParseLoadPlan(std::string_view text,
                                     std::string_view where) {
  BOOST_LEAF_AUTO(json, ParseJson(text, where));
  LoadPlan plan;
  JsonReader reader(json, "");
  const Json* classes = reader.Array("classes");
  const Json* entries = reader.Array("entries");
  reader.ReadOptional("duration", plan.duration, Duration::zero(),
                      kMaxDuration);
  reader.ReadOptional("answer_timeout", plan.answer_timeout, Duration::zero(),
                      kMaxDuration);
  reader.ReadOptional("in_flight", plan.in_flight, 1, kMaxInFlight);
  reader.ReadOptional("seed", plan.seed, 0, kMaxSeed);
  BOOST_LEAF_CHECK(reader.Finish());
  BOOST_LEAF_ASSIGN(plan.classes,
                    ParseItems<LoadClass>(*classes, "classes", ParseClass));
  BOOST_LEAF_ASSIGN(plan.entries,
                    ParseItems<LoadEntry>(*entries, "entries", ParseEntry));
  return plan;
}

}  // namespace damasktack
