#ifndef CONTRACT_DOCUMENT_H_
#define CONTRACT_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contract/contract.h"
#include "contract/service.h"

namespace damasktack {

// The documents that the platform publishes for this system.
enum class DocumentName : std::uint8_t { kContracts, kServices, kHosts };
inline constexpr std::size_t kDocumentCount = 3;
std::string_view ToString(DocumentName name);

// Revision number that the platform assigns to each published document;
// increases monotonically.
using Revision = std::uint64_t;

// One published document as unvalidated text of at most kMaxDocumentBytes.
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

// Parse and validate a whole document. The first error rejects the entire
// document, so that the last valid one stays in force.
leaf::result<ContractList> ParseContracts(const Document& document);
leaf::result<ServiceList> ParseServices(const Document& document);
leaf::result<HostList> ParseHosts(const Document& document);

}  // namespace damasktack

#endif  // CONTRACT_DOCUMENT_H_
