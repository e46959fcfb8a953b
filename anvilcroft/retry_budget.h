#ifndef ANVILCROFT_RETRY_BUDGET_H_
#define ANVILCROFT_RETRY_BUDGET_H_

// A token bucket that limits extra attempts to a fraction of the requests, so that retries cannot
// multiply the load on targets that are slow or overloaded.
//
//   RetryBudget retries(0.1, 20);
//   retries.OnRequest();                 // each request earns a tenth of a token
//   if (retries.TryConsume()) { ... }    // each retry costs one

namespace anvilcroft {

class RetryBudget {
 public:
  // Each request adds `fraction` tokens, up to a capacity of `burst`. The bucket starts full, so
  // that the first requests can be retried.
  RetryBudget(double fraction, double burst) : fraction(fraction), burst(burst), tokens(burst) {}

  // Adds the tokens that one request earns.
  void OnRequest();

  // Consumes one token. Returns false if less than one is left.
  bool TryConsume();

  double Tokens() const { return this->tokens; }

 private:
  double fraction;
  double burst;
  double tokens;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_RETRY_BUDGET_H_
