#include "anvilcroft/limits/charged_text.h"

#include <utility>

namespace anvilcroft {
namespace {

// Step in which a large text is charged.
constexpr std::size_t kStepBytes = 256 << 10;

}  // namespace

bool ChargedText::Append(const std::string& piece, std::size_t max_bytes) {
  const std::size_t bytes = this->text.size() + piece.size();
  const TimePoint now = SteadyNow();
  if (bytes <= kSmallBodyBytes) {
    if (!this->charge) this->charge = this->budget.Open(MemoryPool::kCallers);
    // A small text grows by doubling.
    if (2 * bytes > this->charge->Bytes() && !this->charge->Resize(2 * bytes, now)) return false;
  } else if (!this->charge || this->charge->Pool() != MemoryPool::kLarge) {
    auto large = this->budget.Open(MemoryPool::kLarge);
    if (!large->Resize(bytes + kStepBytes, now)) return false;
    this->charge = std::move(large);
    // Growth by doubling would take three times the text. Only pages that are written to become
    // resident.
    this->text.reserve(max_bytes);
  } else if (bytes > this->charge->Bytes() && !this->charge->Resize(bytes + kStepBytes, now)) {
    return false;
  }
  this->text += piece;
  return true;
}

SharedBody ChargedText::Take() {
  if (this->text.empty()) return {};
  return SharedBody(std::move(this->text), std::move(this->charge));
}

}  // namespace anvilcroft
