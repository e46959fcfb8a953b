#include "anvilcroft/limits/charge_decision.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace anvilcroft {
namespace {

// Allowance for what the process takes without any request: code, tables of targets, batch jobs.
// A process with the state of a small site takes 11 to 13 MB.
constexpr std::size_t kMinBaseBytes = 20 << 20;
constexpr std::size_t kBaseDivisor = 4;
// Shares of the rest, in percent. On 120 MB, the large pool is 49 MB: one body of 32 MiB and the
// answer to it.
constexpr std::size_t kLargePercent = 55;
constexpr std::size_t kCallersPercent = 36;

// Memory that `holder` keeps from others, by how long it has made no progress.
double WasteOf(const MemoryHolder& holder, TimePoint now) {
  return static_cast<double>(holder.bytes) *
         std::chrono::duration<double>(now - holder.progressed).count();
}

}  // namespace

const char* MemoryPoolName(MemoryPool pool) {
  switch (pool) {
    case MemoryPool::kLarge:
      return "large";
    case MemoryPool::kCallers:
      return "callers";
    case MemoryPool::kReserved:
      return "reserved";
  }
  return "unknown";
}

PoolSizes PoolSizes::Unlimited() {
  PoolSizes sizes{};
  sizes.bytes.fill(std::numeric_limits<std::size_t>::max());
  return sizes;
}

PoolSizes PoolSizes::For(std::size_t memory_bytes, std::size_t base_bytes) {
  const std::size_t base =
      std::min(memory_bytes, std::max({kMinBaseBytes, memory_bytes / kBaseDivisor, base_bytes}));
  const std::size_t rest = memory_bytes - base;
  const std::size_t large = rest / 100 * kLargePercent;
  const std::size_t callers = rest / 100 * kCallersPercent;
  return PoolSizes{{large, callers, rest - large - callers}};
}

void BaseEstimate::Observe(std::size_t resident, std::size_t charged, TimePoint now) {
  const std::size_t difference = resident - std::min(resident, charged);
  double kept = static_cast<double>(this->bytes);
  if (this->observed_at) {
    kept *= std::exp2(-std::chrono::duration<double>(now - *this->observed_at) /
                      std::chrono::duration<double>(kBaseHalfLife));
  }
  this->observed_at = now;
  this->bytes = std::max(difference, static_cast<std::size_t>(kept));
}

ConnectionLimits ConnectionLimits::For(std::size_t max_descriptors) {
  // A caller's request takes a connection to a target, and at most 15% take a second one, so about
  // half of the descriptors have to be left.
  ConnectionLimits limits;
  limits.callers = std::max<std::size_t>(4, max_descriptors / 3);
  limits.directory = std::max<std::size_t>(4, max_descriptors / 20);
  limits.ready = std::max<std::size_t>(4, max_descriptors / 64);
  // 307 on 3,075 descriptors: an idle connection of most of 380 instances.
  limits.internal = std::max<std::size_t>(4, max_descriptors / 10);
  return limits;
}

bool MayDisconnect(const MemoryHolder& holder, TimePoint now) {
  if (!holder.incomplete || holder.waiting) return false;
  if (now - holder.progressed >= kStallTime) return true;
  const Duration age = now - holder.began;
  return age >= kRateGrace && static_cast<double>(holder.received) <
                                  kMinRate * std::chrono::duration<double>(age).count();
}

ChargeDecision DecideCharge(const std::map<uint64_t, MemoryHolder>& holders, const PoolSizes& sizes,
                            MemoryPool pool, std::size_t used, uint64_t requester, std::size_t more,
                            TimePoint now) {
  const std::size_t size = sizes.Of(pool);
  if (used <= size && more <= size - used) return {true, {}};
  if (more > size) return {};
  std::vector<std::pair<double, uint64_t>> candidates;
  for (const auto& [id, holder] : holders) {
    if (id == requester || holder.pool != pool || holder.bytes == 0) continue;
    if (MayDisconnect(holder, now)) candidates.emplace_back(WasteOf(holder, now), id);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  ChargeDecision decision;
  std::size_t freed = 0;
  for (const auto& [waste, id] : candidates) {
    decision.disconnected.push_back(id);
    freed += holders.at(id).bytes;
    if (used - std::min(used, freed) <= size - more) {
      decision.granted = true;
      return decision;
    }
  }
  return {};
}

}  // namespace anvilcroft
