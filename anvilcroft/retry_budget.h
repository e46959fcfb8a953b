#ifndef ANVILCROFT_RETRY_BUDGET_H_
#define ANVILCROFT_RETRY_BUDGET_H_

// A token bucket that limits extra work to a fraction of the requests, so that retries cannot
// multiply the load of targets that are slow or overloaded.
//
//   RetryBudget retries(0.1, 20);
//   retries.OnRequest();                 // each request earns a tenth of a token
//   if (retries.TryTake()) { ... }       // each retry costs one

namespace anvilcroft {

class RetryBudget {
 public:
  // Each request earns `fraction` tokens; at most `burst` are saved. Starts full, so that the
  // first requests after a start can be retried.
  RetryBudget(double fraction, double burst) : fraction(fraction), burst(burst), tokens(burst) {}

  void OnRequest();

  // Takes one token; false if there is none.
  bool TryTake();

  double Tokens() const { return this->tokens; }

 private:
  double fraction;
  double burst;
  double tokens;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_RETRY_BUDGET_H_
