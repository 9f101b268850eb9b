#ifndef CORE_COLUMN_TABLE_H_
#define CORE_COLUMN_TABLE_H_

#include <string>
#include <vector>

#include "core/json_reader.h"

namespace damasktack {

// A list of objects of one kind, written as a table: the names of the columns
// once, and a list of values for each row. A large list is a third of its size
// and is read in half the time. A reader goes by the names, so that a newer
// writer may add columns.
class ColumnTable {
 public:
  // `json` holds the members `columns` and `rows` and must outlive the table.
  // Refuses another shape, and a row that is not as long as the columns.
  static leaf::result<ColumnTable> Open(const Json& json,
                                        const std::string& where);
  // The reverse; `rows` is a list of lists.
  static Json Make(std::vector<std::string> columns, Json rows);

  std::size_t size() const { return rows_ == nullptr ? 0 : rows_->size(); }
  // One row as an object by column; columns without a value are left out.
  Json Row(std::size_t row) const;

 private:
  std::vector<std::string> columns_;
  const Json* rows_ = nullptr;
};

}  // namespace damasktack

#endif  // CORE_COLUMN_TABLE_H_
