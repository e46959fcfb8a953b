#ifndef ANVILCROFT_STRAGGLER_BUDGET_H_
#define ANVILCROFT_STRAGGLER_BUDGET_H_

// Limits the samples that are issued a second time to a fixed fraction of the samples started by
// this instance.

#include <cstdint>

namespace anvilcroft {

class StragglerBudget {
 public:
  // One in this many samples may be issued a second time, that is 5%.
  static constexpr int64_t kSamplesPerReissue = 20;

  // Counts a sample that is issued for the first time.
  void CountStarted() { ++this->started; }

  // Consumes one re-issue. Returns false if the budget is exhausted. The budget is rounded up so
  // that an instance with few samples can re-issue one too.
  bool TryConsume() {
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
