#ifndef ANVILCROFT_HEAD_H_
#define ANVILCROFT_HEAD_H_

// The small row that every instance polls: the newest versions of the configuration, the roster and
// the weights. Every transaction that changes one of them checks the row's version and rewrites it.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/row.h"

namespace anvilcroft {

constexpr char kHeadTable[] = "head";
constexpr char kHeadKey[] = "head";

struct Head {
  uint64_t config_version = 0;
  uint64_t roster_version = 0;
  uint64_t weights_version = 0;
  // The zone whose row was written by the newest roster change, so that an instance that is one
  // version behind reads only that row. Empty if unknown.
  std::string roster_zone;
  RowVersion row_version = 0;  // 0: the row does not exist yet

  friend bool operator==(const Head& a, const Head& b) { return a.Tie() == b.Tie(); }
  friend bool operator!=(const Head& a, const Head& b) { return !(a == b); }

 private:
  std::tuple<const uint64_t&, const uint64_t&, const uint64_t&, const std::string&,
             const RowVersion&>
  Tie() const {
    return std::tie(this->config_version, this->roster_version, this->weights_version,
                    this->roster_zone, this->row_version);
  }
};

// The value of the row, without row_version.
nlohmann::json EncodeHead(const Head& head);

// Decodes the row; without a row, returns a Head whose versions are all 0. Fails with
// kInvalidArgument.
Result<Head> DecodeHead(const std::optional<Row>& row);

}  // namespace anvilcroft

#endif  // ANVILCROFT_HEAD_H_
