#ifndef PROXY_ENDPOINT_REPORT_CODEC_H_
#define PROXY_ENDPOINT_REPORT_CODEC_H_

#include <optional>
#include <string_view>

#include "contract/protocol_names.h"
#include "core/time.h"
#include "policy/endpoint_report.h"

namespace damasktack {

// Parsers for endpoints' load reports. They are kept in one place because this
// part of the endpoint protocol is the most likely to differ between
// deployments.
inline constexpr std::string_view kProbePath = "/load";

// Parses a report such as "in_flight=3,queued=0,slots=8". Returns null if the
// text is not a complete and plausible report; an invalid report is treated as
// absent.
std::optional<EndpointReport> ParseEndpointLoad(std::string_view text,
                                                TimePoint now);

// Parses the positional form "running,waiting,slots[,pace]": three counts, and
// the current processing time in percent of the usual one.
std::optional<EndpointReport> ParseEndpointLoadList(std::string_view text,
                                                    TimePoint now);

// Parses the time for which an endpoint remains cold, in whole milliseconds.
// Returns null if the text is empty or implausible.
std::optional<Duration> ParseColdTime(std::string_view text);

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_REPORT_CODEC_H_
