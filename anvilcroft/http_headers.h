#ifndef ANVILCROFT_HTTP_HEADERS_H_
#define ANVILCROFT_HTTP_HEADERS_H_

// The header fields of an HTTP message: an ordered list of names and values. Names are compared
// case-insensitively.

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvilcroft {

class HttpHeaders {
 public:
  using Field = std::pair<std::string, std::string>;

  HttpHeaders() = default;
  explicit HttpHeaders(std::vector<Field> fields) : fields(std::move(fields)) {}

  // Value of the first field called `name`, or "" if there is none.
  std::string_view Find(std::string_view name) const;

  // Returns a copy in which a single field `name` with `value` replaces all fields of that name.
  HttpHeaders With(std::string name, std::string value) const;

  const std::vector<Field>& Fields() const { return this->fields; }

  friend bool operator==(const HttpHeaders& a, const HttpHeaders& b) {
    return a.fields == b.fields;
  }
  friend bool operator!=(const HttpHeaders& a, const HttpHeaders& b) { return !(a == b); }

 private:
  std::vector<Field> fields;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_HEADERS_H_
