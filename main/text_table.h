#ifndef MAIN_TEXT_TABLE_H_
#define MAIN_TEXT_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

#include "core/json_reader.h"

namespace damasktack {

// A text table for the terminal; each column is as wide as its widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> titles);

  void AddRow(std::vector<std::string> cells);
  void Print(std::ostream& out) const;
  bool empty() const { return rows_.size() == 1; }

 private:
  // Rows; the first one holds the titles.
  std::vector<std::vector<std::string>> rows_;
};

// Returns a JSON member as the text of a cell: "-" if it is missing or null; a
// time with a suitable unit if the key ends in "_us".
std::string CellOf(const Json& json, const std::string& key);

// Formats a time with a suitable unit, as in "1.25ms" for 1250.
std::string ShortTime(double microseconds);

}  // namespace damasktack

#endif  // MAIN_TEXT_TABLE_H_
