#include "proxy/unknown_headers.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <mutex>
#include <set>
#include <string>

namespace damasktack {

namespace {

constexpr std::size_t kMaxLoggedNames = 32;

bool BeginsWith(beast::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         beast::iequals(text.substr(0, prefix.size()), ToBeast(prefix));
}

bool IsKnown(beast::string_view name, const ProtocolNames& names) {
  const auto is = [&](const std::string& it) {
    return beast::iequals(name, ToBeast(it));
  };
  return is(names.load) || is(names.shed) || is(names.cold_for) ||
         is(names.answering_endpoint) || is(names.signature) ||
         std::ranges::any_of(names.rate_limit, is) ||
         std::ranges::any_of(names.leaving, is);
}

bool IsNew(beast::string_view name) {
  static std::mutex mutex;
  static std::set<std::string, beast::iless> seen;
  const std::lock_guard lock(mutex);
  return seen.size() < kMaxLoggedNames && seen.emplace(name).second;
}

}  // namespace

void LogUnknownHeaders(const HttpResponse& answer, const ProtocolNames& names) {
  if (!spdlog::should_log(spdlog::level::debug)) {
    return;
  }
  for (const auto& it : answer) {
    const beast::string_view name = it.name_string();
    const bool is_endpoint_header = std::ranges::any_of(
        names.endpoint_prefixes,
        [&](const std::string& prefix) { return BeginsWith(name, prefix); });
    if (is_endpoint_header && !IsKnown(name, names) && IsNew(name)) {
      spdlog::debug("event=unknown-endpoint-header name={} value=\"{}\"",
                    FromBeast(name), FromBeast(it.value()));
    }
  }
}

}  // namespace damasktack
