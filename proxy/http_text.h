#ifndef PROXY_HTTP_TEXT_H_
#define PROXY_HTTP_TEXT_H_

#include <algorithm>
#include <string_view>

namespace damasktack {

// Classes of characters in the head of a message, as RFC 9110 defines them.

inline constexpr std::string_view kLineEnd = "\r\n";

inline bool IsDigit(char it) {
  return it >= '0' && it <= '9';
}

inline bool IsLetter(char it) {
  return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z');
}

inline bool IsTokenChar(char it) {
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return IsDigit(it) || IsLetter(it) ||
         kOthers.find(it) != std::string_view::npos;
}

inline bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenChar);
}

}  // namespace damasktack

#endif  // PROXY_HTTP_TEXT_H_
