#ifndef ANVILCROFT_OWNER_HANDOVER_H_
#define ANVILCROFT_OWNER_HANDOVER_H_

// An offer of the owner lease to another instance, by a holder that cannot renew it or that reaches
// no target.
//
// Load pattern: the store refuses calls from the holder, or the holder is cut off from it or from
// all targets, while the other instances are served. Without the offer a successor waits for
// LeaseSettings::takeover_after and generates again what the holder has not saved, while a training
// step waits.

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "anvilcroft/error.h"
#include "anvilcroft/item_text.h"
#include "anvilcroft/owner_lease.h"

namespace anvilcroft {

// Texts by the ids of the batch job and the item. The same item may be in several jobs, which may
// not all use a text of the same weight versions.
using JobTexts = std::map<std::pair<std::string, std::string>, ItemText>;

struct OwnerHandover {
  OwnerRecord record;  // the lease that is offered
  JobTexts texts;      // of unfinished items

  friend bool operator==(const OwnerHandover& a, const OwnerHandover& b) {
    return std::tie(a.record, a.texts) == std::tie(b.record, b.texts);
  }
  friend bool operator!=(const OwnerHandover& a, const OwnerHandover& b) { return !(a == b); }
};

// Largest encoded handover in bytes.
constexpr std::size_t kMaxHandoverBytes = 4 << 20;

// Encodes the record, and the longest texts as far as they fit into kMaxHandoverBytes, as CBOR.
std::string EncodeHandover(const OwnerHandover& handover);
// Skips malformed texts. Fails if the record is malformed.
Result<OwnerHandover> DecodeHandover(const std::string& value);

enum class HandoverAnswer {
  kTaken,     // another instance has the lease
  kDeclined,  // no other instance has acquired it, or will
  kUnknown,   // another instance may have acquired it, or may still do so
};

// The HTTP status that stands for `answer`, and the answer for which a status stands. Any other
// status comes from an instance that does not handle offers, and stands for kDeclined.
int HandoverStatus(HandoverAnswer answer);
HandoverAnswer HandoverAnswerFor(int status);

}  // namespace anvilcroft

#endif  // ANVILCROFT_OWNER_HANDOVER_H_
