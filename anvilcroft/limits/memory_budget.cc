#include "anvilcroft/limits/memory_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "memory";
// Free memory below this is not worth a scan of the allocator's pages.
constexpr std::size_t kTrimBytes = 4 << 20;

std::size_t IndexOf(MemoryPool pool) { return static_cast<std::size_t>(pool); }

}  // namespace

namespace detail {

struct BudgetState {
  explicit BudgetState(const PoolSizes& sizes) : sizes(sizes) {}

  struct PoolState {
    std::size_t used = 0;
    uint64_t refused = 0;
    uint64_t disconnected = 0;
    uint64_t waited = 0;
  };

  void Release(MemoryHolder& holder) {
    if (holder.bytes == 0) return;
    this->pools[IndexOf(holder.pool)].used -= holder.bytes;
    holder.bytes = 0;
    this->released.NotifyAll();
  }

  std::size_t Total() const {
    std::size_t total = 0;
    for (const PoolState& pool : this->pools) total += pool.used;
    return total;
  }

  PoolSizes sizes;
  std::array<PoolState, kMemoryPools> pools;
  std::map<uint64_t, MemoryHolder> holders;
  std::map<uint64_t, std::function<void()>> disconnects;
  uint64_t next_id = 1;
  std::size_t peak = 0;  // of all charges since the last trim
  Event released;
};

}  // namespace detail

MemoryCharge::~MemoryCharge() {
  this->Clear();
  this->state->holders.erase(this->id);
  this->state->disconnects.erase(this->id);
}

bool MemoryCharge::Resize(std::size_t bytes, TimePoint now) {
  detail::BudgetState& budget = *this->state;
  MemoryHolder& holder = budget.holders.at(this->id);
  auto& pool = budget.pools[IndexOf(holder.pool)];
  if (bytes <= holder.bytes) {
    const bool less = bytes < holder.bytes;
    pool.used -= holder.bytes - bytes;
    holder.bytes = bytes;
    if (less) budget.released.NotifyAll();
    return true;
  }
  const std::size_t more = bytes - holder.bytes;
  const ChargeDecision decision =
      DecideCharge(budget.holders, budget.sizes, holder.pool, pool.used, this->id, more, now);
  if (!decision.granted) return false;
  for (const uint64_t id : decision.disconnected) {
    // The memory is freed as soon as the task of the holder runs, before more input is read.
    MemoryHolder& other = budget.holders.at(id);
    ++pool.disconnected;
    LogWarning(kPart, "a client that makes no progress is disconnected for others",
               {{"pool", MemoryPoolName(other.pool)},
                {"bytes", std::to_string(other.bytes)},
                {"received", std::to_string(other.received)},
                {"idle_ms", std::to_string(ToMillis(now - other.progressed))}});
    budget.Release(other);
    other.incomplete = false;
    const auto disconnect = std::exchange(budget.disconnects[id], nullptr);
    if (disconnect) disconnect();
  }
  pool.used += more;
  holder.bytes = bytes;
  budget.peak = std::max(budget.peak, budget.Total());
  return true;
}

bool MemoryCharge::WaitToResize(Task& task, std::size_t bytes, TimePoint limit) {
  if (this->Resize(bytes, SteadyNow())) return true;
  const auto budget = this->state;
  MemoryHolder& holder = budget->holders.at(this->id);
  auto& pool = budget->pools[IndexOf(holder.pool)];
  if (SteadyNow() < limit) ++pool.waited;
  const std::shared_ptr<void> waits(nullptr, [&holder](void*) { holder.waiting = false; });
  while (SteadyNow() < limit) {
    holder.waiting = true;
    budget->released.WaitUntil(task, limit);
    if (this->Resize(bytes, SteadyNow())) {
      // The time spent waiting is not the peer's.
      holder.progressed = SteadyNow();
      return true;
    }
  }
  ++pool.refused;
  return false;
}

void MemoryCharge::Clear() { this->state->Release(this->state->holders.at(this->id)); }

void MemoryCharge::OnReceived(std::size_t bytes, TimePoint now) {
  MemoryHolder& holder = this->state->holders.at(this->id);
  holder.received += bytes;
  holder.progressed = now;
}

void MemoryCharge::SetIncomplete(TimePoint now) {
  MemoryHolder& holder = this->state->holders.at(this->id);
  holder.incomplete = this->state->disconnects[this->id] != nullptr;
  holder.received = 0;
  holder.began = now;
  holder.progressed = now;
}

void MemoryCharge::SetComplete() { this->state->holders.at(this->id).incomplete = false; }

std::size_t MemoryCharge::Bytes() const { return this->state->holders.at(this->id).bytes; }

MemoryPool MemoryCharge::Pool() const { return this->state->holders.at(this->id).pool; }

MemoryBudget::MemoryBudget(const PoolSizes& sizes)
    : state(std::make_shared<detail::BudgetState>(sizes)) {}

std::shared_ptr<MemoryBudget> MemoryBudget::Unlimited() {
  return std::make_shared<MemoryBudget>(PoolSizes::Unlimited());
}

std::shared_ptr<MemoryCharge> MemoryBudget::Open(MemoryPool pool,
                                                 std::function<void()> disconnect) {
  const uint64_t id = this->state->next_id++;
  MemoryHolder holder;
  holder.pool = pool;
  holder.began = SteadyNow();
  holder.progressed = holder.began;
  this->state->holders.emplace(id, holder);
  if (disconnect) this->state->disconnects.emplace(id, std::move(disconnect));
  return std::make_shared<MemoryCharge>(this->state, id);
}

void MemoryBudget::SetSizes(const PoolSizes& sizes) { this->state->sizes = sizes; }

const PoolSizes& MemoryBudget::Sizes() const { return this->state->sizes; }

std::size_t MemoryBudget::Used(MemoryPool pool) const {
  return this->state->pools[IndexOf(pool)].used;
}

std::size_t MemoryBudget::TotalUsed() const { return this->state->Total(); }

uint64_t MemoryBudget::Refused(MemoryPool pool) const {
  return this->state->pools[IndexOf(pool)].refused;
}

uint64_t MemoryBudget::Disconnected(MemoryPool pool) const {
  return this->state->pools[IndexOf(pool)].disconnected;
}

uint64_t MemoryBudget::Waited(MemoryPool pool) const {
  return this->state->pools[IndexOf(pool)].waited;
}

bool MemoryBudget::ShouldTrim() {
  const std::size_t total = this->state->Total();
  if (this->state->peak < total + kTrimBytes) return false;
  this->state->peak = total;
  return true;
}

void MemoryBudget::Register(Metrics& metrics) const {
  for (const MemoryPool pool : {MemoryPool::kLarge, MemoryPool::kCallers, MemoryPool::kReserved}) {
    const MetricLabels labels = {{"pool", MemoryPoolName(pool)}};
    const std::size_t index = IndexOf(pool);
    const auto budget = this->state;
    metrics.RegisterGauge("anvilcroft_memory_pool_bytes", labels,
                          [budget, pool] { return static_cast<double>(budget->sizes.Of(pool)); });
    metrics.RegisterGauge("anvilcroft_memory_charged_bytes", labels, [budget, index] {
      return static_cast<double>(budget->pools[index].used);
    });
    metrics.RegisterCounter("anvilcroft_memory_refused_total", labels, [budget, index] {
      return static_cast<double>(budget->pools[index].refused);
    });
    metrics.RegisterCounter("anvilcroft_memory_disconnected_total", labels, [budget, index] {
      return static_cast<double>(budget->pools[index].disconnected);
    });
    metrics.RegisterCounter("anvilcroft_memory_waited_total", labels, [budget, index] {
      return static_cast<double>(budget->pools[index].waited);
    });
  }
}

}  // namespace anvilcroft
