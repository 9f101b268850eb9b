#include "fleet/cbor_bounds.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damasktack {

namespace {

constexpr std::string_view kRemedy = "check what writes this value";

// The major types of RFC 8949 that matter for the structure.
enum MajorType : std::uint8_t {
  kByteString = 2,
  kTextString = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
};

// The head of a value: its major type, and its number or length.
struct Head {
  std::uint8_t major = 0;
  std::uint64_t argument = 0;
};

leaf::error_id Refuse(std::string_view where,
                      std::size_t position,
                      std::string found) {
  return Fail(ErrorKind::kProtocol,
              std::string(where) + " byte " + std::to_string(position),
              std::move(found), std::string(kRemedy));
}

class BoundsChecker {
 public:
  BoundsChecker(std::string_view bytes,
                std::string_view where,
                std::size_t max_items)
      : bytes_(bytes), where_(where), max_items_(max_items) {}

  leaf::result<void> Check() {
    // Number of values that each open array or map still expects.
    std::vector<std::uint64_t> expected{1};
    std::size_t items = 0;
    while (!expected.empty()) {
      if (expected.back() == 0) {
        expected.pop_back();
        continue;
      }
      --expected.back();
      if (++items > max_items_) {
        return Refuse(where_, position_, "too many values");
      }
      BOOST_LEAF_AUTO(head, ReadHead());
      BOOST_LEAF_AUTO(children, Children(head));
      if (children == 0) {
        continue;
      }
      if (expected.size() == kMaxCborDepth) {
        return Refuse(where_, position_, "nested too deep");
      }
      expected.push_back(children);
    }
    if (position_ != bytes_.size()) {
      return Refuse(where_, position_, "bytes after the value");
    }
    return {};
  }

 private:
  std::size_t left() const { return bytes_.size() - position_; }

  leaf::result<Head> ReadHead() {
    constexpr std::uint8_t kMajorShift = 5;
    constexpr std::uint8_t kInfoMask = 31;
    constexpr std::uint8_t kFirstLongInfo = 24;
    constexpr std::uint8_t kLastLongInfo = 27;
    constexpr unsigned kByteBits = 8;
    if (left() == 0) {
      return Refuse(where_, position_, "the value is cut short");
    }
    const auto first = static_cast<std::uint8_t>(bytes_[position_++]);
    const std::uint8_t info = first & kInfoMask;
    Head head{static_cast<std::uint8_t>(first >> kMajorShift), info};
    if (info < kFirstLongInfo) {
      return head;
    }
    if (info > kLastLongInfo) {
      return Refuse(where_, position_, "a length that is not known in advance");
    }
    const std::size_t n = std::size_t{1} << (info - kFirstLongInfo);
    if (left() < n) {
      return Refuse(where_, position_, "the value is cut short");
    }
    head.argument = 0;
    for (std::size_t k = 0; k < n; ++k) {
      head.argument = (head.argument << kByteBits) |
                      static_cast<std::uint8_t>(bytes_[position_++]);
    }
    return head;
  }

  // Returns the number of values inside this one; skips the bytes of a string.
  leaf::result<std::uint64_t> Children(const Head& head) {
    const bool counted = head.major >= kByteString && head.major <= kMap;
    if (counted && head.argument > left()) {
      return Refuse(where_, position_, "a length beyond the end");
    }
    switch (head.major) {
      case kByteString:
      case kTextString:
        position_ += head.argument;
        return std::uint64_t{0};
      case kArray:
        return head.argument;
      case kMap:
        return 2 * head.argument;
      case kTag:
        return Refuse(where_, position_, "a tag");
      default:
        return std::uint64_t{0};
    }
  }

  std::string_view bytes_;
  std::string_view where_;
  std::size_t max_items_;
  std::size_t position_ = 0;
};

}  // namespace

leaf::result<void> CheckCborBounds(std::string_view bytes,
                                   std::string_view where,
                                   std::size_t max_items) {
  return BoundsChecker(bytes, where, max_items).Check();
}

leaf::result<Json> ParseCbor(std::string_view bytes,
                             std::string_view where,
                             std::size_t max_items) {
  BOOST_LEAF_CHECK(CheckCborBounds(bytes, where, max_items));
  Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (json.is_discarded()) {
    return Fail(ErrorKind::kProtocol, std::string(where), "not a CBOR value",
                std::string(kRemedy));
  }
  return json;
}

}  // namespace damasktack
