#include "main/file_text.h"

#include <fstream>
#include <sstream>

namespace damasktack {

leaf::result<std::string> ReadWholeFile(const std::string& path,
                                        const std::string& remedy) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  // Opening a directory succeeds; only reading it fails.
  if (!file || (text.str().empty() && file.bad())) {
    return Fail(ErrorKind::kFileUnreadable, path.empty() ? "file" : path,
                "the file cannot be read", remedy);
  }
  return text.str();
}

leaf::result<std::string> ReadTokenFile(const std::string& path) {
  BOOST_LEAF_AUTO(text, ReadWholeFile(path,
                                      "specify a file that holds the token "
                                      "and that this user may read"));
  std::istringstream words(text);
  std::string token;
  words >> token;
  if (token.empty()) {
    return Fail(ErrorKind::kMissingKey, path, "an empty file",
                "write the token into the file's first line");
  }
  return token;
}

}  // namespace damasktack
