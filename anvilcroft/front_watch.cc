#include "anvilcroft/front_watch.h"

#include <algorithm>

#include "anvilcroft/hash.h"

namespace anvilcroft {
namespace {

constexpr Duration kShortestPeriod = milliseconds(600);
constexpr double kStoreShare = 0.2;
constexpr double kLifetimePeriods = 2.6;
// A partition of this many instances gets about half of the writes that it takes.
constexpr std::size_t kFrontsPerPartition = 48;
// Silence of the watcher after which the first instance in the order of takeover becomes the
// watcher, and the additional silence for each one after it. The watcher writes every 700 ms.
constexpr Duration kWatcherSilence = milliseconds(1300);
constexpr Duration kSilencePerRank = milliseconds(100);

}  // namespace

Duration HeartbeatPeriod(std::size_t fronts, double store_writes_per_s) {
  const std::chrono::duration<double> share(static_cast<double>(fronts) /
                                            (kStoreShare * std::max(1.0, store_writes_per_s)));
  return std::max<Duration>(kShortestPeriod, std::chrono::duration_cast<Duration>(share));
}

Duration HeartbeatLifetime(Duration period) {
  return std::chrono::duration_cast<Duration>(period * kLifetimePeriods);
}

std::size_t HeartbeatPartitions(std::size_t fronts) { return 1 + fronts / kFrontsPerPartition; }

std::string HeartbeatPartition(const std::string& instance, std::size_t fronts) {
  return std::to_string(StableHash(instance) % HeartbeatPartitions(fronts));
}

std::set<std::string> FindDownFronts(const std::map<std::string, FrontRecord>& fronts,
                                     const std::map<std::string, StoreMillis>& beats,
                                     StoreMillis store_time, Duration lifetime) {
  std::set<std::string> down;
  for (const auto& [id, front] : fronts) {
    const auto beat = beats.find(id);
    const StoreMillis last =
        std::max(front.written_at, beat == beats.end() ? StoreMillis{0} : beat->second);
    if (!front.leaving && store_time - last > ToMillis(lifetime)) down.insert(id);
  }
  return down;
}

std::vector<FrontRecord> FilterLiveFronts(const std::map<std::string, FrontRecord>& fronts,
                                          const std::set<std::string>& down) {
  std::vector<FrontRecord> live;
  for (const auto& [id, front] : fronts) {
    if (!front.leaving && down.count(id) == 0) live.push_back(front);
  }
  return live;
}

bool IsWatcher(bool was_last_watcher, Duration silence, int rank) {
  return was_last_watcher || silence > kWatcherSilence + rank * kSilencePerRank;
}

}  // namespace anvilcroft
