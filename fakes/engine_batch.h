#ifndef FAKES_ENGINE_BATCH_H_
#define FAKES_ENGINE_BATCH_H_

// Continuous batching of a fake engine. Up to a fixed number of requests run at once, and each step
// produces one token for every running request whose prefill is complete. Other requests wait in
// order of priority, then arrival; a request that doesn't fit into the KV cache blocks those behind
// it.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "anvilcroft/time.h"
#include "fakes/generation.h"
#include "fakes/prefix_cache.h"

namespace anvilcroft::fakes {

class EngineBatch {
 public:
  using Item = std::shared_ptr<Generation>;

  struct Limits {
    std::size_t max_running = 8;
    int64_t kv_tokens = 100000;  // shared by running requests and cached prefixes
    double prefill_tokens_per_second = 20000;
  };

  EngineBatch(const Limits& limits, PrefixCache& cache) : limits(limits), cache(cache) {}

  void Add(Item item);

  // Runs one step: starts requests that fit, then produces tokens with weight version `version`.
  // `slowdown` multiplies the prefill time of the requests started. Returns the requests that
  // finished.
  std::vector<Item> Step(TimePoint now, int64_t version, double slowdown);

  // Ends every waiting or running request for which `matches` returns true, with state `outcome`.
  // Returns the number of requests ended.
  int64_t Cancel(const std::function<bool(const Generation&)>& matches, Generation::State outcome);
  void EndAll(Generation::State outcome);

  bool Idle() const { return this->running.empty() && this->waiting.empty(); }
  int64_t Running() const { return static_cast<int64_t>(this->running.size()); }
  int64_t Waiting() const { return static_cast<int64_t>(this->waiting.size()); }
  // KV tokens that no running request reserves; cached prefixes may use them.
  int64_t FreeKvTokens() const { return this->limits.kv_tokens - this->reserved_kv_tokens; }

 private:
  void Start(TimePoint now, double slowdown);

  Limits limits;
  PrefixCache& cache;
  std::map<std::pair<Priority, uint64_t>, Item> waiting;  // by priority and arrival number
  std::vector<Item> running;
  uint64_t arrivals = 0;
  int64_t reserved_kv_tokens = 0;  // by running requests
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_ENGINE_BATCH_H_
