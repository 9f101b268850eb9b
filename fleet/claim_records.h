#ifndef FLEET_CLAIM_RECORDS_H_
#define FLEET_CLAIM_RECORDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/claim_messages.h"

namespace damasktack {

// Size of the records of all buckets on one host.
struct ClaimUsage {
  std::int64_t records = 0;
  // Records of claims that have not ended.
  std::int64_t granted = 0;
  std::size_t answer_bytes = 0;
};

// Stores the records of one bucket on one replica.
class ClaimRecords {
 public:
  explicit ClaimRecords(ClaimUsage& usage) : usage_(usage) {}

  // Null if there is no record of the key.
  const ClaimRecord* Find(const CustomerId& customer,
                          const std::string& key) const;
  // Adds a claim that has not ended, unless the key has a record.
  void Grant(const ClaimRecord& request);
  // Marks the claim as ended. Adds it if it is unknown, so that the end of a
  // claim is never lost. Does nothing if another claim holds the key.
  void End(const ClaimRecord& record, bool keep_answer, TimePoint now);
  // Frees the key if this claim holds it and has not ended.
  void Release(const ClaimRecord& record);

  // Returns all records, for a handover to another host. Ended claims carry
  // their ages. Answers are included up to `answer_bytes` in total.
  std::vector<ClaimRecord> Export(std::size_t answer_bytes,
                                  TimePoint now) const;
  void Replace(const std::vector<ClaimRecord>& records, TimePoint now);
  void Clear();
  // Removes the claims that ended before `oldest`.
  void RemoveEndedBefore(TimePoint oldest);

 private:
  struct Entry {
    ClaimRecord record;
    TimePoint ended_at;
  };
  struct Key {
    CustomerId customer;
    std::string key;

    auto operator<=>(const Key&) const = default;
  };

  // Adds the record to the usage, or subtracts it for a `sign` of -1.
  void AddToUsage(const ClaimRecord& record, int sign);

  ClaimUsage& usage_;
  std::map<Key, Entry> entries_;
};

// Merges the records of the replicas of one ballot. A claim that has ended on
// either replica has ended, whatever the other replica has stored.
std::vector<ClaimRecord> MergeClaimRecords(
    const std::vector<std::vector<ClaimRecord>>& answers);

}  // namespace damasktack

#endif  // FLEET_CLAIM_RECORDS_H_
