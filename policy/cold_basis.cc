#include "policy/cold_basis.h"

namespace damasktack {

std::string_view ToString(ColdSource word) {
  switch (word) {
    case ColdSource::kList:
      return "list";
    case ColdSource::kProbe:
      return "probe";
    case ColdSource::kDrainEnd:
      return "drain-end";
  }
  return "unknown";
}

}  // namespace damasktack
