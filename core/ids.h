#ifndef CORE_IDS_H_
#define CORE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace damasktack {

// A string ID whose type prevents mixing it up with IDs of other kinds.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

  auto operator<=>(const StrongId&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.text_;
  }

 private:
  std::string text_;
};

using CustomerId = StrongId<struct CustomerTag>;
using ServiceId = StrongId<struct ServiceTag>;
using EndpointId = StrongId<struct EndpointTag>;
using HostId = StrongId<struct HostTag>;
using ZoneId = StrongId<struct ZoneTag>;
using RegionId = StrongId<struct RegionTag>;
using CallId = StrongId<struct CallTag>;

// Distinguishes successive processes with the same host ID. Drawn at random
// when a daemon starts; 0 means "unknown".
using Incarnation = std::uint64_t;

}  // namespace damasktack

template <typename Tag>
struct std::hash<damasktack::StrongId<Tag>> {
  std::size_t operator()(const damasktack::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.text());
  }
};

#endif  // CORE_IDS_H_
