#ifndef STANDIN_FREE_PORTS_H_
#define STANDIN_FREE_PORTS_H_

#include <cstdint>

namespace damasktack {

// Finds free ports on 127.0.0.1 for processes whose port is configured. All
// ports are below the system's ephemeral range: a port from that range could be
// assigned to an outgoing connection before the process binds it.
class FreePorts {
 public:
  // Starts the search at a port that depends on the process id, so that
  // parallel processes rarely try the same ports.
  FreePorts();

  // Returns a port that can be bound and was not returned before, or 0 if there
  // is none.
  std::uint16_t Take();

 private:
  std::uint16_t next_;
};

}  // namespace damasktack

#endif  // STANDIN_FREE_PORTS_H_
