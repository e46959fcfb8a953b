#include "anvilcroft/row_key.h"

#include "anvilcroft/http_request.h"

namespace anvilcroft {

std::string RowKey(const std::vector<std::string>& parts) {
  std::string key;
  for (const std::string& part : parts) {
    key += (key.empty() ? "" : "/") + PercentEncode(part);
  }
  return key;
}

std::string RowKeyPrefix(const std::vector<std::string>& parts) { return RowKey(parts) + "/"; }

}  // namespace anvilcroft
