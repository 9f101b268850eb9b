#ifndef CORE_TCP_LIVENESS_H_
#define CORE_TCP_LIVENESS_H_

#include "core/time.h"

namespace damasktack {

// Makes the kernel close connections whose network path was lost without a
// reset. Data written to such a connection is never acknowledged and readers
// wait forever. A connection in use is closed once data has been unacknowledged
// for `unacknowledged`, an idle one about two seconds after the path was lost.
// A slow peer process does not count, since its kernel still acknowledges.
// Costs no wake-ups of this process.
void EnableLostConnectionDetection(int socket,
                                   std::chrono::milliseconds unacknowledged);

}  // namespace damasktack

#endif  // CORE_TCP_LIVENESS_H_
