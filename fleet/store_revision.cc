#include "fleet/store_revision.h"

namespace damasktack {

namespace {

constexpr int kPackedNumberBits = 44;
constexpr Revision kMaxPackedNumber = (Revision{1} << kPackedNumberBits) - 1;
constexpr StoreEra kMaxPackedEra = (StoreEra{1} << 20) - 1;

}  // namespace

void to_json(Json& json, const StoreRevision& revision) {
  if (revision.era <= kMaxPackedEra && revision.number < kMaxPackedNumber) {
    json = (revision.era << kPackedNumberBits) | revision.number;
  } else {
    json = Json::array({revision.era, revision.number});
  }
}

std::optional<StoreRevision> ParseRevision(const Json& json) {
  if (json.is_number_unsigned()) {
    const auto packed = json.get<std::uint64_t>();
    const Revision number = packed & kMaxPackedNumber;
    if (number == kMaxPackedNumber) {
      return std::nullopt;
    }
    return StoreRevision(packed >> kPackedNumberBits, number);
  }
  const bool is_pair = json.is_array() && json.size() == 2 &&
                       json[0].is_number_unsigned() &&
                       json[1].is_number_unsigned();
  if (!is_pair) {
    return std::nullopt;
  }
  return StoreRevision(json[0].get<StoreEra>(), json[1].get<Revision>());
}

void ReadRevision(JsonReader& reader,
                  std::string_view key,
                  StoreRevision& out) {
  constexpr const char* kRemedy =
      "update the sending host; this one reads the store itself meanwhile";
  const Json* json = reader.OptionalValue(key);
  if (json == nullptr) {
    reader.Refuse(ErrorKind::kMissingKey, key, "nothing", kRemedy);
    return;
  }
  const std::optional<StoreRevision> parsed = ParseRevision(*json);
  if (!parsed) {
    reader.Refuse(ErrorKind::kOutOfRange, key, json->dump(), kRemedy);
    return;
  }
  out = *parsed;
}

}  // namespace damasktack
