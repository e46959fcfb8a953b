#ifndef ANVILCROFT_TAKE_RECORD_H_
#define ANVILCROFT_TAKE_RECORD_H_

// Samples delivered by one take: the value of a row of the table `takes`. Immutable once written,
// so that requests with the same take_id always get the same response.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/ready_record.h"

namespace anvilcroft {

struct TakeRecord {
  // Maximum number of samples in one take.
  static constexpr std::size_t kMaxSamples = 64;
  // Maximum total size of a take's samples, with outputs in the object store included. A take of
  // one sample may exceed it.
  static constexpr int64_t kMaxContentBytes = 512 << 10;

  std::string take_id;
  int64_t step = 0;
  // Name and contents of each sample.
  std::vector<std::pair<std::string, ReadyRecord>> samples;
  // Number of samples of the step that remain to be delivered after this take.
  int64_t remaining = 0;

  nlohmann::json Encode() const;
  static Result<TakeRecord> Decode(const nlohmann::json& value);

  friend bool operator==(const TakeRecord& a, const TakeRecord& b) {
    return a.take_id == b.take_id && a.step == b.step && a.samples == b.samples &&
           a.remaining == b.remaining;
  }
  friend bool operator!=(const TakeRecord& a, const TakeRecord& b) { return !(a == b); }
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TAKE_RECORD_H_
