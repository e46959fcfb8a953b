#ifndef ANVILCROFT_TEXT_TABLE_H_
#define ANVILCROFT_TEXT_TABLE_H_

// Formats lists of JSON objects as aligned columns for a terminal.

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilcroft {

// Returns a header line of field names and one line for each object in `list`. The columns are the
// fields in `first_columns`, then the others in alphabetical order. Control characters are replaced
// by '?'; null, empty and missing values are shown as '-'. Elements that are not objects are
// skipped. Returns "none\n" if no object has a field.
std::string RenderTable(const nlohmann::json& list, const std::vector<std::string>& first_columns);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TEXT_TABLE_H_
