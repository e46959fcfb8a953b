#ifndef ANVILCROFT_LIMITS_CHARGE_DECISION_H_
#define ANVILCROFT_LIMITS_CHARGE_DECISION_H_

// Decides who may hold how much of the memory of a process, without input or output.
//
// The load that it addresses: clients that send many large bodies of legal size at once, whole, in
// pieces or in chunks, most stopping just short of the end with the connection open, beside
// ordinary callers with small requests. Measured without a budget: 20 callers with 31 MiB each took
// a process to 652 MB, on machines with 120 MB.
//
// The memory is divided into pools, so that large bodies cannot take what small requests need, and
// callers cannot take what the directory, readiness checks and other instances need. A charge that
// does not fit its pool is granted if holders that make no progress can be disconnected for it:
// those that waste most memory first, never one whose request is complete or that waits itself.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "anvilcroft/time.h"

namespace anvilcroft {

enum class MemoryPool {
  kLarge,     // bodies of more than kSmallBodyBytes
  kCallers,   // connections of callers, heads and small bodies
  kReserved,  // the same of the directory, of readiness checks and of other instances
};
constexpr std::size_t kMemoryPools = 3;
const char* MemoryPoolName(MemoryPool pool);

// Bodies up to this size are charged to the pool of their connection.
constexpr std::size_t kSmallBodyBytes = 64 << 10;
// A holder that has received nothing for this long makes no progress. Retransmissions on a link
// with loss take up to 400 ms.
constexpr Duration kStallTime = milliseconds(500);
// A holder older than this makes no progress either if it has received less than kMinRate on
// average. The largest body has to arrive at 3.3 MB/s to be read within the time limit of 10 s.
constexpr Duration kRateGrace = seconds(1);
constexpr double kMinRate = 256 << 10;  // bytes a second

// Sizes of the pools, in bytes.
struct PoolSizes {
  std::array<std::size_t, kMemoryPools> bytes;

  std::size_t Of(MemoryPool pool) const { return this->bytes[static_cast<std::size_t>(pool)]; }

  // Pools without limits.
  static PoolSizes Unlimited();
  // Divides the memory of a process of `memory_bytes`, which takes `base_bytes` without any
  // request; less than an allowance for the usual state of a site counts as that allowance.
  static PoolSizes For(std::size_t memory_bytes, std::size_t base_bytes = 0);

  friend bool operator==(const PoolSizes& a, const PoolSizes& b) { return a.bytes == b.bytes; }
  friend bool operator!=(const PoolSizes& a, const PoolSizes& b) { return !(a == b); }
};

// Estimates what the process takes without any request, from its resident and its charged memory.
// Both change with every request, and charged memory need not be resident yet, so the estimate is
// the largest difference, which falls by half in kBaseHalfLife.
class BaseEstimate {
 public:
  static constexpr Duration kBaseHalfLife = seconds(60);

  void Observe(std::size_t resident, std::size_t charged, TimePoint now);
  std::size_t Bytes() const { return this->bytes; }

 private:
  std::size_t bytes = 0;
  std::optional<TimePoint> observed_at;
};

// Most connections of each listener.
struct ConnectionLimits {
  std::size_t callers = 4096;
  std::size_t directory = 4096;
  std::size_t ready = 4096;
  std::size_t internal = 4096;

  // Divides the descriptors of a process. What is left is for its own connections to the store, to
  // targets and to other instances.
  static ConnectionLimits For(std::size_t max_descriptors);

  friend bool operator==(const ConnectionLimits& a, const ConnectionLimits& b) {
    return std::tie(a.callers, a.directory, a.ready, a.internal) ==
           std::tie(b.callers, b.directory, b.ready, b.internal);
  }
  friend bool operator!=(const ConnectionLimits& a, const ConnectionLimits& b) { return !(a == b); }
};

// Something that holds memory of a pool.
struct MemoryHolder {
  MemoryPool pool = MemoryPool::kCallers;
  std::size_t bytes = 0;     // charged
  std::size_t received = 0;  // from its peer
  TimePoint began;
  TimePoint progressed;  // when something was received last
  // Whether it may be disconnected: its request is not complete, so it certainly has not run.
  bool incomplete = false;
  bool waiting = false;  // for memory itself
};

// Whether `holder` makes no progress and may be disconnected for others.
bool MayDisconnect(const MemoryHolder& holder, TimePoint now);

struct ChargeDecision {
  bool granted = false;
  std::vector<uint64_t> disconnected;  // holders that give up their memory for it

  friend bool operator==(const ChargeDecision& a, const ChargeDecision& b) {
    return a.granted == b.granted && a.disconnected == b.disconnected;
  }
  friend bool operator!=(const ChargeDecision& a, const ChargeDecision& b) { return !(a == b); }
};

// Decides whether `requester` may hold `more` bytes of `pool`, of which `used` are held.
ChargeDecision DecideCharge(const std::map<uint64_t, MemoryHolder>& holders, const PoolSizes& sizes,
                            MemoryPool pool, std::size_t used, uint64_t requester, std::size_t more,
                            TimePoint now);

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIMITS_CHARGE_DECISION_H_
