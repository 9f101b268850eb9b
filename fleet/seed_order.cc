#include "fleet/seed_order.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace damasktack {

namespace {

struct SeedPreference {
  std::ptrdiff_t neg_common_prefix = 0;
  std::uint64_t hash = 0;

  auto operator<=>(const SeedPreference&) const = default;
};

SeedPreference PreferenceOf(const HostId& host,
                            const SocketAddress& own,
                            const SocketAddress& seed) {
  const auto common_prefix =
      std::ranges::mismatch(own.ip, seed.ip).in1 - own.ip.begin();
  const std::string text = host.text() + " " + ToString(seed);
  return {-common_prefix, XXH3_64bits(text.data(), text.size())};
}

}  // namespace

std::vector<SocketAddress> OrderSeedsFor(const HostId& host,
                                         const SocketAddress& own,
                                         std::vector<SocketAddress> seeds) {
  std::ranges::sort(seeds, {}, [&](const SocketAddress& it) {
    return PreferenceOf(host, own, it);
  });
  return seeds;
}

}  // namespace damasktack
