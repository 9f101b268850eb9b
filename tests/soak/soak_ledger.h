#ifndef TESTS_SOAK_SOAK_LEDGER_H_
#define TESTS_SOAK_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace damasktack {

// What callers were told and what endpoints ran, by the id of each request; it
// says which promises these two break. Safe to use from several threads.
class SoakLedger {
 public:
  // A request that may run once at most.
  void Sent(const std::string& call, bool idempotent);
  void Ran(const std::string& call);
  // A further arrival of a request that has arrived before.
  void Arrived(const std::string& call);
  void Answered(const std::string& call, int status);
  // Something that is wrong in itself.
  void Violation(std::string text);

  std::size_t calls() const;
  std::size_t answered(int status) const;
  // Broken promises so far, with those that only the whole record shows.
  std::vector<std::string> Violations() const;

 private:
  struct Call {
    bool is_known = false;
    bool idempotent = true;
    int runs = 0;
    int arrivals = 0;
    int status = 0;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Call> calls_;
  std::vector<std::string> violations_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_LEDGER_H_
