#include "fleet/document_check.h"

namespace damasktack {

leaf::result<void> CheckDocument(const Document& document) {
  switch (document.name) {
    case DocumentName::kContracts:
      BOOST_LEAF_CHECK(ParseContracts(document));
      break;
    case DocumentName::kServices:
      BOOST_LEAF_CHECK(ParseServices(document));
      break;
    case DocumentName::kHosts:
      BOOST_LEAF_CHECK(ParseHosts(document));
      break;
  }
  return {};
}

}  // namespace damasktack
