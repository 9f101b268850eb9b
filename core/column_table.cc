#include "core/column_table.h"

#include <utility>

namespace damasktack {

leaf::result<ColumnTable> ColumnTable::Open(const Json& json,
                                            const std::string& where) {
  ColumnTable table;
  JsonReader reader(json, where);
  reader.ReadOptional("columns", table.columns_);
  table.rows_ = reader.Array("rows");
  BOOST_LEAF_CHECK(reader.FinishIgnoringUnknown());
  for (std::size_t n = 0; n < table.size(); ++n) {
    const Json& row = (*table.rows_)[n];
    if (!row.is_array() || row.size() != table.columns_.size()) {
      return Fail(ErrorKind::kWrongType, where + " row " + std::to_string(n),
                  "a row without exactly one value per column",
                  "check the program that writes the table");
    }
  }
  return table;
}

Json ColumnTable::Make(std::vector<std::string> columns, Json rows) {
  return Json{{"columns", std::move(columns)}, {"rows", std::move(rows)}};
}

Json ColumnTable::Row(std::size_t row) const {
  const Json& values = (*rows_)[row];
  Json::object_t members;
  for (std::size_t n = 0; n < columns_.size(); ++n) {
    if (!values[n].is_null()) {
      members.emplace(columns_[n], values[n]);
    }
  }
  return members;
}

}  // namespace damasktack
