#ifndef FLEET_DOCUMENT_CHECK_H_
#define FLEET_DOCUMENT_CHECK_H_

#include "contract/document.h"

namespace damasktack {

// Checks whether a document may take effect, by parsing it completely according
// to its name.
leaf::result<void> CheckDocument(const Document& document);

}  // namespace damasktack

#endif  // FLEET_DOCUMENT_CHECK_H_
