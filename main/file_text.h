#ifndef MAIN_FILE_TEXT_H_
#define MAIN_FILE_TEXT_H_

#include <string>

#include "core/error.h"

namespace damasktack {

// Reads a whole file. `remedy` is the remedy of the error if it cannot be read.
leaf::result<std::string> ReadWholeFile(const std::string& path,
                                        const std::string& remedy);

// Reads a token from a file: its first word, without the surrounding white
// space.
leaf::result<std::string> ReadTokenFile(const std::string& path);

}  // namespace damasktack

#endif  // MAIN_FILE_TEXT_H_
