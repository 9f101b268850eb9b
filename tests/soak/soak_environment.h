#ifndef TESTS_SOAK_SOAK_ENVIRONMENT_H_
#define TESTS_SOAK_SOAK_ENVIRONMENT_H_

#include <cstdlib>

namespace damasktack {

// Returns an integer environment variable, or `otherwise` if it is not set.
inline int SoakSetting(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

// Path of the daemon under test. DAMASKTACK_SOAK_BINARY selects another build
// for a comparison.
inline const char* SoakBinary() {
  const char* path = std::getenv("DAMASKTACK_SOAK_BINARY");
  return path == nullptr ? DAMASKTACK_BINARY : path;
}

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_ENVIRONMENT_H_
