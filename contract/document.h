#ifndef CONTRACT_DOCUMENT_H_
#define CONTRACT_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contract/contract.h"
#include "contract/service.h"

namespace damasktack {

// The three values that the platform publishes for this system.
enum class DocumentName : std::uint8_t { kContracts, kServices, kHosts };
inline constexpr std::size_t kDocumentCount = 3;
std::string_view ToString(DocumentName name);

// Numbers that the platform gives each published value; they only go up.
using Revision = std::uint64_t;

// One published value as text, not yet checked. At most kMaxDocumentBytes.
struct Document {
  DocumentName name = DocumentName::kContracts;
  Revision revision = 0;
  std::string body;

  bool operator==(const Document&) const = default;
};

inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

struct ContractList {
  Revision revision = 0;
  std::vector<Contract> contracts;
};

struct ServiceList {
  Revision revision = 0;
  std::vector<ServiceSpec> services;
};

struct HostList {
  Revision revision = 0;
  std::vector<HostSpec> hosts;
};

// Each checks the whole value; the first fault refuses all of it, so that
// the last good value stays in force.
leaf::result<ContractList> ParseContracts(const Document& document);
leaf::result<ServiceList> ParseServices(const Document& document);
leaf::result<HostList> ParseHosts(const Document& document);

}  // namespace damasktack

#endif  // CONTRACT_DOCUMENT_H_
