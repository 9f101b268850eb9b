#ifndef PROXY_CALL_TERMS_H_
#define PROXY_CALL_TERMS_H_

#include "contract/contract.h"
#include "contract/protocol_names.h"
#include "contract/route.h"
#include "policy/call_offer.h"
#include "proxy/http_types.h"

namespace damasktack {

// The terms on which a call is offered to its service's balancer: whose it is,
// how urgent, until when, and how often it may be sent. `offer.arrival` must be
// set; token and arrival are left as they are.

// What the caller allows by its own header; without one, a day.
Duration AskedTime(const HttpRequest& request, const ProtocolNames& names);

// Sends of the call by hops before this one.
std::int64_t AttemptsBefore(const HttpRequest& request,
                            const ProtocolNames& names);

// By the contract of a customer whose key came with the call.
void FillOffer(const Contract& contract,
               const RequestClass& request_class,
               const HttpRequest& request,
               const ProtocolNames& names,
               CallOffer& offer);
// By the route that the call is for.
void FillOffer(const Route& route,
               const HttpRequest& request,
               const ProtocolNames& names,
               CallOffer& offer);

}  // namespace damasktack

#endif  // PROXY_CALL_TERMS_H_
