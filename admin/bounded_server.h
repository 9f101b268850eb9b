#ifndef ADMIN_BOUNDED_SERVER_H_
#define ADMIN_BOUNDED_SERVER_H_

#include <httplib.h>

#include "admin/bounded_stream.h"
#include "core/time.h"

namespace damasktack {

// cpp-httplib's server with limits on the size and the time of a request. Each
// connection serves one request: an idle one would occupy one of the few
// threads, and the platform's readiness check would time out.
class BoundedServer : public httplib::Server {
 public:
  // `first_byte_timeout` is the time until a request begins.
  BoundedServer(StreamLimits limits, Duration first_byte_timeout);

 private:
  bool process_and_close_socket(socket_t socket) override;

  const StreamLimits limits_;
  const Duration first_byte_timeout_;
};

}  // namespace damasktack

#endif  // ADMIN_BOUNDED_SERVER_H_
