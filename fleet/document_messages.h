#ifndef FLEET_DOCUMENT_MESSAGES_H_
#define FLEET_DOCUMENT_MESSAGES_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "contract/document.h"

namespace damasktack {

// One value of a document. The platform gives each value a revision of its own;
// the hash of the body makes the order total where it broke that word, so that
// all hosts still end on the same value.
struct DocumentVersion {
  // 0 where there is no value.
  Revision revision = 0;
  std::uint64_t hash = 0;

  auto operator<=>(const DocumentVersion&) const = default;
};

DocumentVersion VersionOf(const Document& document);

// The versions that the sender has, by DocumentName.
struct DocumentDigest {
  static constexpr std::string_view kKind = "document-digest";

  std::array<DocumentVersion, kDocumentCount> versions{};
  // The sender wants the receiver's digest in return.
  bool answer = false;

  Json ToJson() const;
  static leaf::result<DocumentDigest> Parse(const Json& json,
                                            const std::string& path);

  bool operator==(const DocumentDigest&) const = default;
};

struct DocumentPush {
  static constexpr std::string_view kKind = "document-push";

  Document document;

  Json ToJson() const;
  static leaf::result<DocumentPush> Parse(const Json& json,
                                          const std::string& path);

  bool operator==(const DocumentPush&) const = default;
};

// Asks for a document if the receiver's version is above `after`.
struct DocumentRequest {
  static constexpr std::string_view kKind = "document-ask";

  DocumentName name = DocumentName::kContracts;
  DocumentVersion after;

  Json ToJson() const;
  static leaf::result<DocumentRequest> Parse(const Json& json,
                                             const std::string& path);

  bool operator==(const DocumentRequest&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_DOCUMENT_MESSAGES_H_
