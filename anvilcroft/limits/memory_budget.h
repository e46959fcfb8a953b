#ifndef ANVILCROFT_LIMITS_MEMORY_BUDGET_H_
#define ANVILCROFT_LIMITS_MEMORY_BUDGET_H_

// Accounts for the memory that others can make this process hold. The decisions are in
// charge_decision.h.
//
//   MemoryBudget budget(PoolSizes::For(120'000'000));
//   auto charge = budget.Open(MemoryPool::kLarge, [&] { connection.Close(); });
//   if (!charge->Resize(length, SteadyNow())) return Refuse();
//
// A charge is released when its last owner is gone.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "anvilcroft/event.h"
#include "anvilcroft/limits/charge_decision.h"
#include "anvilcroft/metrics.h"

namespace anvilcroft {

namespace detail {
struct BudgetState;
}  // namespace detail

class MemoryCharge {
 public:
  MemoryCharge(std::shared_ptr<detail::BudgetState> state, uint64_t id)
      : state(std::move(state)), id(id) {}
  ~MemoryCharge();
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  // Changes the charge to `bytes`. Returns false, and changes nothing, if the budget does not allow
  // it. Others may be disconnected for it.
  bool Resize(std::size_t bytes, TimePoint now);
  // Like Resize, but waits until `limit` for others to release memory. Meanwhile this charge is not
  // disconnected for others.
  bool WaitToResize(Task& task, std::size_t bytes, TimePoint limit);
  // Releases all bytes.
  void Clear();

  // Reports that bytes have been received.
  void OnReceived(std::size_t bytes, TimePoint now);
  // Begins the reception of a new request: until SetComplete, the peer may be disconnected for
  // others.
  void SetIncomplete(TimePoint now);
  void SetComplete();

  std::size_t Bytes() const;
  MemoryPool Pool() const;

 private:
  std::shared_ptr<detail::BudgetState> state;
  uint64_t id;
};

class MemoryBudget {
 public:
  explicit MemoryBudget(const PoolSizes& sizes);
  // A budget that grants everything.
  static std::shared_ptr<MemoryBudget> Unlimited();

  // Opens a charge of zero bytes. `disconnect` is called if the holder has to give up its memory,
  // which it must do before the task that it is called in waits twice; null: it can't be.
  std::shared_ptr<MemoryCharge> Open(MemoryPool pool, std::function<void()> disconnect = nullptr);

  void SetSizes(const PoolSizes& sizes);
  const PoolSizes& Sizes() const;
  std::size_t Used(MemoryPool pool) const;
  // Of all pools.
  std::size_t TotalUsed() const;
  // Requests and connections that were refused for lack of memory, holders that were disconnected
  // for others, and charges that had to wait.
  uint64_t Refused(MemoryPool pool) const;
  uint64_t Disconnected(MemoryPool pool) const;
  uint64_t Waited(MemoryPool pool) const;

  // Whether much memory has been released since the last call that returned true, so that the
  // allocator should return free pages to the system.
  bool ShouldTrim();

  // Registers the metrics of all pools.
  void Register(Metrics& metrics) const;

 private:
  std::shared_ptr<detail::BudgetState> state;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIMITS_MEMORY_BUDGET_H_
