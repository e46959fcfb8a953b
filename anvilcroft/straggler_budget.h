#ifndef ANVILCROFT_STRAGGLER_BUDGET_H_
#define ANVILCROFT_STRAGGLER_BUDGET_H_

// Bounds the samples that are issued a second time to a fixed part of all samples started here.

#include <cstdint>

namespace anvilcroft {

class StragglerBudget {
 public:
  // One in this many samples may be issued again, that is 5%.
  static constexpr int64_t kSamplesPerReissue = 20;

  // Counts a sample that is issued for the first time.
  void Started() { ++this->started; }

  // Takes one re-issue, rounding the budget up so that small systems have one too. Returns false
  // if the budget is used up.
  bool Take() {
    if (this->reissued * kSamplesPerReissue >= this->started) return false;
    ++this->reissued;
    return true;
  }

  int64_t Reissued() const { return this->reissued; }

 private:
  int64_t started = 0;
  int64_t reissued = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_STRAGGLER_BUDGET_H_
