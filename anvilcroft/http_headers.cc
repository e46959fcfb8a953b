#include "anvilcroft/http_headers.h"

#include <algorithm>
#include <cctype>

namespace anvilcroft {
namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
           return std::tolower(x) == std::tolower(y);
         });
}

}  // namespace

std::string_view HttpHeaders::Find(std::string_view name) const {
  for (const Field& field : this->fields) {
    if (EqualsIgnoreCase(field.first, name)) return field.second;
  }
  return {};
}

HttpHeaders HttpHeaders::With(std::string name, std::string value) const {
  HttpHeaders copy;
  for (const Field& field : this->fields) {
    if (!EqualsIgnoreCase(field.first, name)) copy.fields.push_back(field);
  }
  copy.fields.emplace_back(std::move(name), std::move(value));
  return copy;
}

}  // namespace anvilcroft
