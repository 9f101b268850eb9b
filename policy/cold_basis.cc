#include "policy/cold_basis.h"

namespace damasktack {

std::string_view ToString(ColdWord word) {
  switch (word) {
    case ColdWord::kList:
      return "list";
    case ColdWord::kProbe:
      return "probe";
    case ColdWord::kDrainEnd:
      return "drain-end";
  }
  return "unknown";
}

}  // namespace damasktack
