#ifndef CORE_TCP_LIVENESS_H_
#define CORE_TCP_LIVENESS_H_

#include "core/time.h"

namespace damasktack {

// A path may lose a connection without a reset: what is written on it gets no
// acknowledgement, and a reader waits for ever. Lets the kernel end such a
// connection: one that is in use once bytes have gone unacknowledged for
// `unacknowledged`, an idle one about two seconds after it was lost. The
// peer's slowness does not count, as its kernel acknowledges for it. Costs no
// wake-ups of this process.
void EnableLostConnectionDetection(int socket,
                                   std::chrono::milliseconds unacknowledged);

}  // namespace damasktack

#endif  // CORE_TCP_LIVENESS_H_
