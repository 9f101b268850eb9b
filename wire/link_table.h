#ifndef WIRE_LINK_TABLE_H_
#define WIRE_LINK_TABLE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "wire/peer_link.h"

namespace damasktack::detail {

// Table of open links, at most one per host id. Modified on the transport's
// thread only; lookups are thread-safe.
class LinkTable {
 public:
  // Returns null if there is no link.
  PeerLinkPtr Find(const std::string& host) const;
  bool Has(const std::string& host) const { return Find(host) != nullptr; }
  // Returns true if a link that was dialed to this address is open.
  bool HasDialed(const PeerAddress& address) const;
  std::vector<PeerLinkPtr> All() const;
  void Put(const PeerLinkPtr& link);
  // Removes the link. Returns true if this link, and not another one to the
  // same host, was in the table.
  bool Remove(const PeerLinkPtr& link);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, PeerLinkPtr> links_;
};

}  // namespace damasktack::detail

#endif  // WIRE_LINK_TABLE_H_
