#ifndef PROXY_UNKNOWN_HEADERS_H_
#define PROXY_UNKNOWN_HEADERS_H_

#include "contract/protocol_names.h"
#include "proxy/http_types.h"

namespace damasktack {

// Writes a line of level debug for each header in which an endpoint says
// something of itself that this version does not know; one line a name and
// process, and a bounded number of names.
void LogUnknownHeaders(const HttpResponse& answer, const ProtocolNames& names);

}  // namespace damasktack

#endif  // PROXY_UNKNOWN_HEADERS_H_
