#ifndef ANVILCROFT_TEXT_TABLE_H_
#define ANVILCROFT_TEXT_TABLE_H_

// Lists of JSON objects as aligned columns for a terminal.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilcroft {

// One row for each object in `list`, under a line of field names: the fields in `first_columns`
// first, then the others in alphabetical order. Control characters are replaced by '?'; elements
// that are no objects are left out. An empty list gives "none\n".
std::string RenderTable(const nlohmann::json& list, const std::vector<std::string>& first_columns);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TEXT_TABLE_H_
