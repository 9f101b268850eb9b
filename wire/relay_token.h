#ifndef WIRE_RELAY_TOKEN_H_
#define WIRE_RELAY_TOKEN_H_

#include <string>
#include <string_view>

namespace damasktack {

// Returns the token by which the hosts of a fleet recognize the calls that they
// relay to each other, in hexadecimal digits. It is derived from the fleet's
// key, which it does not reveal.
std::string MakeRelayToken(std::string_view fleet_key);

}  // namespace damasktack

#endif  // WIRE_RELAY_TOKEN_H_
