#include "anvilcroft/limits/charge_decision.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace anvilcroft {
namespace {

// Memory that the process needs without any request: code, tables of targets, batch jobs. A
// process with a site's usual state takes 12 to 20 MB.
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

PoolSizes PoolSizes::For(std::size_t memory_bytes) {
  const std::size_t base =
      std::min(memory_bytes, std::max(kMinBaseBytes, memory_bytes / kBaseDivisor));
  const std::size_t rest = memory_bytes - base;
  const std::size_t large = rest / 100 * kLargePercent;
  const std::size_t callers = rest / 100 * kCallersPercent;
  return PoolSizes{{large, callers, rest - large - callers}};
}

ConnectionLimits ConnectionLimits::For(std::size_t max_descriptors) {
  // A caller's request takes a connection to a target, and at most 15% take a second one, so about
  // half of the descriptors have to be left.
  ConnectionLimits limits;
  limits.callers = std::max<std::size_t>(4, max_descriptors / 3);
  limits.directory = std::max<std::size_t>(2, max_descriptors / 16);
  limits.ready = std::max<std::size_t>(2, max_descriptors / 32);
  limits.internal = std::max<std::size_t>(2, max_descriptors / 16);
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
