#ifndef TESTS_SOAK_SOAK_ENVIRONMENT_H_
#define TESTS_SOAK_SOAK_ENVIRONMENT_H_

#include <cstdlib>

namespace damasktack {

// What a run by hand sets in its environment; `otherwise` where it does not.
inline int SoakSetting(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

// The daemon to play, so that another build can be compared.
inline const char* SoakBinary() {
  const char* path = std::getenv("DAMASKTACK_SOAK_BINARY");
  return path == nullptr ? DAMASKTACK_BINARY : path;
}

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_ENVIRONMENT_H_
