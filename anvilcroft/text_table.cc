#include "anvilcroft/text_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

std::string FormatCell(const nlohmann::json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : DumpJson(value);
  if (value.is_null()) text = "-";
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }, '?');
  return text.empty() ? "-" : text;
}

std::vector<std::string> ColumnNames(const nlohmann::json& list,
                                     const std::vector<std::string>& first_columns) {
  std::set<std::string> names;
  for (const auto& item : list) {
    if (!item.is_object()) continue;
    for (const auto& [name, value] : item.items()) names.insert(name);
  }
  std::vector<std::string> columns;
  for (const std::string& name : first_columns) {
    if (names.erase(name) != 0) columns.push_back(name);
  }
  columns.insert(columns.end(), names.begin(), names.end());
  return columns;
}

}  // namespace

std::string RenderTable(const nlohmann::json& list, const std::vector<std::string>& first_columns) {
  const auto columns = ColumnNames(list, first_columns);
  if (columns.empty()) return "none\n";
  std::vector<std::vector<std::string>> rows = {columns};
  for (const auto& item : list) {
    if (!item.is_object()) continue;
    std::vector<std::string> row;
    for (const std::string& column : columns) {
      const auto found = item.find(column);
      row.push_back(found == item.end() ? "-" : FormatCell(*found));
    }
    rows.push_back(std::move(row));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      text += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    text += row.back() + "\n";
  }
  return text;
}

}  // namespace anvilcroft
