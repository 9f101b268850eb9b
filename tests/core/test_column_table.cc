#include "core/column_table.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

std::optional<Error> OpenError(const Json& json) {
  return CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(ColumnTable::Open(json, "table"));
    return {};
  });
}

TEST_CASE("a row is read back as an object keyed by column") {
  const Json json = ColumnTable::Make(
      {"name", "size"},
      Json::array({Json::array({"a", 1}), Json::array({"b", nullptr})}));
  std::vector<Json> rows;
  const auto error = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_AUTO(table, ColumnTable::Open(json, "table"));
    for (std::size_t n = 0; n < table.size(); ++n) {
      rows.push_back(table.Row(n));
    }
    return {};
  });
  REQUIRE(!error);
  CHECK(rows ==
        std::vector<Json>{{{"name", "a"}, {"size", 1}}, {{"name", "b"}}});
}

TEST_CASE("malformed tables are rejected and the error names the row") {
  CHECK(OpenError(Json::array()));
  CHECK(OpenError({{"columns", {"name"}}}));
  CHECK(OpenError({{"columns", "name"}, {"rows", Json::array()}}));
  CHECK(OpenError({{"columns", {"name"}}, {"rows", Json::array({"a"})}}));
  const auto short_row = OpenError(ColumnTable::Make(
      {"name", "size"},
      Json::array({Json::array({"a", 1}), Json::array({"b"})})));
  REQUIRE(short_row);
  CHECK(short_row->where == "table row 1");
}

}  // namespace
}  // namespace damasktack
