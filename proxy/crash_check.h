#ifndef PROXY_CRASH_CHECK_H_
#define PROXY_CRASH_CHECK_H_

#include "core/json_reader.h"
#include "fleet/request_quarantine.h"
#include "proxy/http_types.h"

namespace damasktack {

// Finds out whether the endpoint's process has ended, by whether anything still
// listens at its address, and tells the quarantine. A connection that broke
// alone says little: endpoints reset connections when they are full, and
// answers are lost on the way. `quarantine` must outlive the event loop.
asio::awaitable<void> CheckForCrash(RequestQuarantine& quarantine,
                                    EndpointProcess endpoint,
                                    SocketAddress address);

}  // namespace damasktack

#endif  // PROXY_CRASH_CHECK_H_
