#ifndef ANVILCROFT_LIMITS_CHARGED_TEXT_H_
#define ANVILCROFT_LIMITS_CHARGED_TEXT_H_

// A text that grows piece by piece and is charged to the memory budget before each piece is stored.

#include <cstddef>
#include <memory>
#include <string>

#include "anvilcroft/limits/memory_budget.h"
#include "anvilcroft/limits/shared_body.h"

namespace anvilcroft {

class ChargedText {
 public:
  explicit ChargedText(MemoryBudget& budget) : budget(budget) {}

  // Adds `piece`. Returns false if there is no memory for it. The text never exceeds `max_bytes`.
  bool Append(const std::string& piece, std::size_t max_bytes);

  // Moves out the text with its charge.
  SharedBody Take();

 private:
  MemoryBudget& budget;
  std::shared_ptr<MemoryCharge> charge;
  std::string text;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIMITS_CHARGED_TEXT_H_
