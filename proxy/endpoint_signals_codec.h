#ifndef PROXY_ENDPOINT_SIGNALS_CODEC_H_
#define PROXY_ENDPOINT_SIGNALS_CODEC_H_

#include <optional>
#include <string_view>

#include "contract/protocol_names.h"
#include "core/time.h"
#include "policy/endpoint_signals.h"
#include "proxy/http_types.h"

namespace damasktack {

// A decimal number of requests a second, "1.5"; null where the text is none.
std::optional<double> ParseRate(std::string_view text);

// Seconds, with or without a fraction, as in Retry-After; null where the text
// is none. A date is none: endpoints' clocks differ from this host's.
std::optional<Duration> ParseSeconds(std::string_view text);

// The timeout of a Keep-Alive header, "timeout=5, max=100"; null without one.
std::optional<Duration> ParseKeepAliveTimeout(std::string_view text);

// What the answer says besides the load. A header that cannot be read counts as
// absent, and is logged for the first answers that have one.
EndpointSignals ReadEndpointSignals(const HttpResponse& answer,
                                    const ProtocolNames& names);

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_SIGNALS_CODEC_H_
