#ifndef FLEET_DOCUMENT_MESSAGES_H_
#define FLEET_DOCUMENT_MESSAGES_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "contract/document.h"

namespace damasktack {

// Identifies one version of a document. The platform assigns each version its
// own revision. If it assigns the same revision to two different bodies, their
// hashes decide, so that all hosts still agree on one version.
struct DocumentVersion {
  // 0 if there is no document.
  Revision revision = 0;
  std::uint64_t hash = 0;

  auto operator<=>(const DocumentVersion&) const = default;
};

DocumentVersion VersionOf(const Document& document);

// Announces the versions that the sender has, by DocumentName.
struct DocumentDigest {
  static constexpr std::string_view kKind = "document-digest";

  std::array<DocumentVersion, kDocumentCount> versions{};
  // The sender requests the receiver's digest in return.
  bool answer = false;

  Json ToJson() const;
  static leaf::result<DocumentDigest> Parse(const Json& json,
                                            const std::string& path);

  bool operator==(const DocumentDigest&) const = default;
};

// Sends a document that the receiver has requested.
struct DocumentPush {
  static constexpr std::string_view kKind = "document-push";

  Document document;

  Json ToJson() const;
  static leaf::result<DocumentPush> Parse(const Json& json,
                                          const std::string& path);

  bool operator==(const DocumentPush&) const = default;
};

// Requests a document if the receiver's version is higher than `after`.
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
