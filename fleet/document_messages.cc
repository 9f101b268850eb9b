#include "fleet/document_messages.h"

#include <xxhash.h>

#include <vector>

namespace damasktack {

namespace {

void ReadName(JsonReader& reader, DocumentName& out) {
  std::vector<std::string_view> names;
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    names.push_back(ToString(static_cast<DocumentName>(n)));
  }
  std::size_t index = 0;
  reader.ReadChoice("name", names, index);
  out = static_cast<DocumentName>(index);
}

Json JsonOf(const DocumentVersion& version) {
  return Json{{"revision", version.revision}, {"hash", version.hash}};
}

void ReadVersion(JsonReader& parent,
                 std::string_view key,
                 DocumentVersion& out) {
  const Json* json = parent.OptionalObject(key);
  if (json == nullptr) {
    return;
  }
  JsonReader reader(*json, parent.PathOf(key));
  reader.Read("revision", out.revision);
  reader.Read("hash", out.hash);
  Try([&] { return reader.FinishIgnoringUnknown(); },
      [&](const Error& error) { parent.Adopt(error); });
}

}  // namespace

DocumentVersion VersionOf(const Document& document) {
  return {document.revision,
          XXH64(document.body.data(), document.body.size(), document.revision)};
}

Json DocumentDigest::ToJson() const {
  Json json = {{"answer", answer}};
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    json[std::string(ToString(static_cast<DocumentName>(n)))] =
        JsonOf(versions[n]);
  }
  return json;
}

leaf::result<DocumentDigest> DocumentDigest::Parse(const Json& json,
                                                   const std::string& path) {
  DocumentDigest message;
  JsonReader reader(json, path);
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    ReadVersion(reader, ToString(static_cast<DocumentName>(n)),
                message.versions[n]);
  }
  reader.ReadOptional("answer", message.answer);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json DocumentPush::ToJson() const {
  return Json{{"name", ToString(document.name)},
              {"revision", document.revision},
              {"body", document.body}};
}

leaf::result<DocumentPush> DocumentPush::Parse(const Json& json,
                                               const std::string& path) {
  DocumentPush message;
  JsonReader reader(json, path);
  ReadName(reader, message.document.name);
  reader.Read("revision", message.document.revision);
  reader.Read("body", message.document.body);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

Json DocumentRequest::ToJson() const {
  return Json{{"name", ToString(name)}, {"after", JsonOf(after)}};
}

leaf::result<DocumentRequest> DocumentRequest::Parse(const Json& json,
                                                     const std::string& path) {
  DocumentRequest message;
  JsonReader reader(json, path);
  ReadName(reader, message.name);
  ReadVersion(reader, "after", message.after);
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  return message;
}

}  // namespace damasktack
