#ifndef PROXY_CALL_PARAMETERS_H_
#define PROXY_CALL_PARAMETERS_H_

#include "contract/contract.h"
#include "contract/protocol_names.h"
#include "contract/route.h"
#include "policy/call_offer.h"
#include "proxy/http_types.h"

namespace damasktack {

// Functions that derive a call's parameters for its service's balancer:
// customer, urgency, deadline and number of sends allowed. FillOffer needs
// `offer.arrival` to be set and changes neither token nor arrival.

// Returns the timeout that the caller requests in the deadline header; one day
// without such a header.
Duration RequestedTimeout(const HttpRequest& request,
                          const ProtocolNames& names);

// Returns how many times earlier hops have sent this call.
std::int64_t PreviousAttempts(const HttpRequest& request,
                              const ProtocolNames& names);

// Fills the offer from the contract of the customer whose key came with the
// call.
void FillOffer(const Contract& contract,
               const RequestClass& request_class,
               const HttpRequest& request,
               const ProtocolNames& names,
               CallOffer& offer);
// Fills the offer from the route that matches the call.
void FillOffer(const Route& route,
               const HttpRequest& request,
               const ProtocolNames& names,
               CallOffer& offer);

// Returns whether calls of the route may get a second send while the first one
// is in flight. Where the timeout is close to the objective, the timeout itself
// soon ends a send to an endpoint that does not answer. A factor of 0 allows
// none.
bool MayBeHedged(const Route& route, double timeout_factor);

}  // namespace damasktack

#endif  // PROXY_CALL_PARAMETERS_H_
