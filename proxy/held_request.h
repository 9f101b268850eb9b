#ifndef PROXY_HELD_REQUEST_H_
#define PROXY_HELD_REQUEST_H_

#include <memory>

#include "core/memory_account.h"
#include "proxy/http_types.h"

namespace damasktack {

// Returns the request together with the memory that it holds, which is given
// back with the last reference.
std::shared_ptr<HttpRequest> HoldRequest(HttpRequest request,
                                         MemoryAccount memory);

}  // namespace damasktack

#endif  // PROXY_HELD_REQUEST_H_
