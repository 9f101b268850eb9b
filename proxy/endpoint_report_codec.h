#ifndef PROXY_ENDPOINT_REPORT_CODEC_H_
#define PROXY_ENDPOINT_REPORT_CODEC_H_

#include <optional>
#include <string_view>

#include "contract/protocol_names.h"
#include "core/time.h"
#include "policy/endpoint_report.h"

namespace damasktack {

// How endpoints say what load they carry, in one place because it is the part
// of an endpoint's protocol most likely to differ from one user to another.
inline constexpr std::string_view kProbePath = "/load";

// Null where the text is not a whole, plausible report; a report that cannot
// be read counts as none.
std::optional<EndpointReport> ParseEndpointLoad(std::string_view text,
                                                TimePoint now);

// The same for "running,waiting,slots[,pace]": counts, and how long work takes
// there at the moment in percent of the usual.
std::optional<EndpointReport> ParseEndpointLoadList(std::string_view text,
                                                    TimePoint now);

// How much longer an endpoint stays cold, in whole milliseconds. Null where the
// text is empty or says no plausible time.
std::optional<Duration> ParseColdTime(std::string_view text);

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_REPORT_CODEC_H_
