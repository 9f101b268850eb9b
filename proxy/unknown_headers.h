#ifndef PROXY_UNKNOWN_HEADERS_H_
#define PROXY_UNKNOWN_HEADERS_H_

#include "contract/protocol_names.h"
#include "proxy/http_types.h"

namespace damasktack {

// Logs, at debug level, endpoint headers that this version does not support.
// Each name is logged once per process, and the number of names is bounded.
void LogUnknownHeaders(const HttpResponse& answer, const ProtocolNames& names);

}  // namespace damasktack

#endif  // PROXY_UNKNOWN_HEADERS_H_
