#ifndef PROXY_CRASH_CHECK_H_
#define PROXY_CRASH_CHECK_H_

#include "core/json_reader.h"
#include "fleet/request_quarantine.h"
#include "proxy/http_types.h"

namespace damasktack {

// Checks whether the endpoint's process has ended, by whether anything still
// listens at its address, and reports the result to the quarantine. A broken
// connection alone is not sufficient evidence: endpoints reset connections when
// they are overloaded, and answers can be lost in the network. `quarantine`
// must outlive the event loop.
asio::awaitable<void> CheckForCrash(RequestQuarantine& quarantine,
                                    EndpointProcess endpoint,
                                    SocketAddress address);

}  // namespace damasktack

#endif  // PROXY_CRASH_CHECK_H_
