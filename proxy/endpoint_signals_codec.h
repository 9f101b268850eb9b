#ifndef PROXY_ENDPOINT_SIGNALS_CODEC_H_
#define PROXY_ENDPOINT_SIGNALS_CODEC_H_

#include <optional>
#include <string_view>

#include "contract/protocol_names.h"
#include "core/time.h"
#include "policy/endpoint_signals.h"
#include "proxy/http_types.h"

namespace damasktack {

// Parses a decimal number of requests per second, such as "1.5". Returns null
// if the text is invalid.
std::optional<double> ParseRate(std::string_view text);

// Parses a number of seconds, with or without a fraction, as in Retry-After.
// Returns null if the text is invalid. A date is rejected, because endpoints'
// clocks may differ from this host's clock.
std::optional<Duration> ParseSeconds(std::string_view text);

// Parses the timeout from a Keep-Alive header such as "timeout=5, max=100".
// Returns null without one.
std::optional<Duration> ParseKeepAliveTimeout(std::string_view text);

// Reads the signals other than the load report from an answer: pause, shutdown
// and rate limit. An invalid rate limit is treated as absent and logged for the
// first few answers that have one.
EndpointSignals ReadEndpointSignals(const HttpResponse& answer,
                                    const ProtocolNames& names);

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_SIGNALS_CODEC_H_
