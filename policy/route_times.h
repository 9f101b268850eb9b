#ifndef POLICY_ROUTE_TIMES_H_
#define POLICY_ROUTE_TIMES_H_

#include <cstddef>
#include <unordered_map>

#include "core/ids.h"

namespace damasktack {

// Learns how long the calls of each route take compared with the usual
// execution time of their service. Without it, a long call would be sent to a
// slow endpoint where only shorter calls are on time, and a short one refused
// because it seems to be late everywhere.
class RouteTimes {
 public:
  // Records an execution at an endpoint of usual pace that took `relative`
  // times the usual time.
  void Learn(const CustomerId& route, double relative);
  // Returns the factor by which calls of the route take longer than usual; 1
  // without any sample.
  double FactorOf(const CustomerId& route) const;

 private:
  struct Factor {
    double value = 1;
    std::size_t samples = 0;
  };

  std::unordered_map<CustomerId, Factor> factors_;
};

}  // namespace damasktack

#endif  // POLICY_ROUTE_TIMES_H_
