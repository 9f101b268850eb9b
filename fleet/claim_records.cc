#include "fleet/claim_records.h"

#include <algorithm>

namespace damasktack {

const ClaimRecord* ClaimRecords::Find(const CustomerId& customer,
                                      const std::string& key) const {
  const auto it = entries_.find({customer, key});
  return it == entries_.end() ? nullptr : &it->second.record;
}

void ClaimRecords::AddToUsage(const ClaimRecord& record, int sign) {
  usage_.records += sign;
  usage_.granted += record.ended ? 0 : sign;
  const std::size_t bytes = record.answer ? record.answer->body.size() : 0;
  usage_.answer_bytes += sign > 0 ? bytes : 0 - bytes;
}

void ClaimRecords::Grant(const ClaimRecord& request) {
  ClaimRecord record = request;
  record.ended = false;
  record.answer.reset();
  const Key key{request.customer, request.key};
  if (entries_.try_emplace(key, Entry{record, {}}).second) {
    AddToUsage(record, 1);
  }
}

void ClaimRecords::End(const ClaimRecord& record,
                       bool keep_answer,
                       TimePoint now) {
  Entry entry{record, now - record.age};
  entry.record.ended = true;
  if (!keep_answer) {
    entry.record.answer.reset();
  }
  const Key key{record.customer, record.key};
  const auto it = entries_.find(key);
  if (it != entries_.end()) {
    if (it->second.record.claim != record.claim || it->second.record.ended) {
      return;
    }
    AddToUsage(it->second.record, -1);
    entries_.erase(it);
  }
  AddToUsage(entry.record, 1);
  entries_.emplace(key, std::move(entry));
}

void ClaimRecords::Release(const ClaimRecord& record) {
  const auto it = entries_.find({record.customer, record.key});
  if (it == entries_.end() || it->second.record.claim != record.claim ||
      it->second.record.ended) {
    return;
  }
  AddToUsage(it->second.record, -1);
  entries_.erase(it);
}

std::vector<ClaimRecord> ClaimRecords::Export(std::size_t answer_bytes,
                                              TimePoint now) const {
  std::vector<ClaimRecord> records;
  records.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    ClaimRecord record = entry.record;
    record.age = record.ended ? now - entry.ended_at : Duration{};
    const std::size_t size = record.answer ? record.answer->body.size() : 0;
    if (size > answer_bytes) {
      record.answer.reset();
    } else {
      answer_bytes -= size;
    }
    records.push_back(std::move(record));
  }
  return records;
}

void ClaimRecords::Replace(const std::vector<ClaimRecord>& records,
                           TimePoint now) {
  Clear();
  for (const ClaimRecord& it : records) {
    if (it.ended) {
      End(it, true, now);
    } else {
      Grant(it);
    }
  }
}

void ClaimRecords::Clear() {
  for (const auto& [key, entry] : entries_) {
    AddToUsage(entry.record, -1);
  }
  entries_.clear();
}

void ClaimRecords::RemoveEndedBefore(TimePoint oldest) {
  std::erase_if(entries_, [&](const auto& it) {
    const Entry& entry = it.second;
    const bool is_old = entry.record.ended && entry.ended_at < oldest;
    if (is_old) {
      AddToUsage(entry.record, -1);
    }
    return is_old;
  });
}

std::vector<ClaimRecord> MergeClaimRecords(
    const std::vector<std::vector<ClaimRecord>>& answers) {
  ClaimUsage usage;
  ClaimRecords merged(usage);
  const TimePoint now{};
  for (const bool ended : {true, false}) {
    for (const auto& records : answers) {
      for (const ClaimRecord& it : records) {
        if (it.ended && ended) {
          merged.End(it, true, now);
        } else if (!it.ended && !ended) {
          merged.Grant(it);
        }
      }
    }
  }
  return merged.Export(~std::size_t{0}, now);
}

}  // namespace damasktack
