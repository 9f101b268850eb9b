#ifndef MAIN_VERSION_H_
#define MAIN_VERSION_H_

#include <string_view>

namespace damasktack {

// Version of the release; must equal the one in CMakeLists.txt and
// CHANGELOG.md.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace damasktack

#endif  // MAIN_VERSION_H_
