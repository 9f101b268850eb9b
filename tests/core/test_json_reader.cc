#include <doctest/doctest.h>

#include "core/json_reader.h"

namespace damasktack {
namespace {

Error ErrorOf(std::string_view text) {
  return Try(
      [&]() -> leaf::result<Error> {
        BOOST_LEAF_AUTO(json, ParseJson(text, "text"));
        Duration time{};
        JsonReader reader(json, "root");
        reader.Read("time", time, std::chrono::milliseconds(1),
                    std::chrono::seconds(1));
        BOOST_LEAF_CHECK(reader.Finish());
        return Error{};
      },
      [](const Error& error) { return error; });
}

TEST_CASE("comments are ignored") {
  CHECK(ErrorOf("{ /* why */ \"time\": \"5ms\" }") == Error{});
}

TEST_CASE("each error names its key and the remedy") {
  CHECK(ErrorOf("{").kind == ErrorKind::kInvalidJson);
  CHECK(ErrorOf("{}").kind == ErrorKind::kMissingKey);
  CHECK(ErrorOf("{\"time\": 5}").kind == ErrorKind::kWrongUnit);
  CHECK(ErrorOf("{\"time\": \"5\"}").kind == ErrorKind::kWrongUnit);
  CHECK(ErrorOf("{\"time\": \"2s\"}").kind == ErrorKind::kOutOfRange);
  const Error unknown = ErrorOf("{\"time\": \"5ms\", \"tim\": 1}");
  CHECK(unknown.kind == ErrorKind::kUnknownKey);
  CHECK(unknown.where == "root.tim");
  CHECK(unknown.remedy.find("time") != std::string::npos);
}

}  // namespace
}  // namespace damasktack
