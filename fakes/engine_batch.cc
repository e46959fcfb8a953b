#include "fakes/engine_batch.h"

#include <algorithm>
#include <chrono>

namespace anvilcroft::fakes {

void EngineBatch::Add(Item item) {
  const std::pair<Priority, uint64_t> position(item->priority, ++this->arrivals);
  this->waiting.emplace(position, std::move(item));
}

void EngineBatch::Start(TimePoint now, double slowdown) {
  while (!this->waiting.empty() && this->running.size() < this->limits.max_running) {
    const Item item = this->waiting.begin()->second;
    if (item->KvTokens() > this->FreeKvTokens()) return;
    this->waiting.erase(this->waiting.begin());
    this->reserved_kv_tokens += item->KvTokens();
    const int64_t cached = this->cache.Match(item->blocks) * PrefixCache::kBlockTokens;
    this->cache.Add(item->blocks, this->FreeKvTokens());
    const auto tokens = static_cast<double>(item->prompt_tokens + item->resumed_tokens - cached);
    const std::chrono::duration<double> prefill(tokens * slowdown /
                                                this->limits.prefill_tokens_per_second);
    item->prefilled_at = now + std::chrono::duration_cast<Duration>(prefill);
    item->state = Generation::State::kRunning;
    this->running.push_back(item);
  }
}

std::vector<EngineBatch::Item> EngineBatch::Step(TimePoint now, int64_t version, double slowdown) {
  this->Start(now, slowdown);
  std::vector<Item> finished;
  for (const Item& item : this->running) {
    if (item->prefilled_at > now) continue;
    if (item->produced < item->max_tokens) item->AddToken(version);
    if (item->produced >= item->max_tokens) finished.push_back(item);
  }
  for (const Item& item : finished) {
    this->running.erase(std::find(this->running.begin(), this->running.end(), item));
    this->reserved_kv_tokens -= item->KvTokens();
    item->End(Generation::State::kFinished);
  }
  return finished;
}

int64_t EngineBatch::Cancel(const std::function<bool(const Generation&)>& matches,
                            Generation::State outcome) {
  int64_t cancelled = 0;
  for (auto position = this->waiting.begin(); position != this->waiting.end();) {
    const Item item = position->second;
    if (!matches(*item)) {
      ++position;
      continue;
    }
    position = this->waiting.erase(position);
    item->End(outcome);
    ++cancelled;
  }
  for (std::size_t i = 0; i < this->running.size();) {
    const Item item = this->running[i];
    if (!matches(*item)) {
      ++i;
      continue;
    }
    this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(i));
    this->reserved_kv_tokens -= item->KvTokens();
    item->End(outcome);
    ++cancelled;
  }
  return cancelled;
}

void EngineBatch::EndAll(Generation::State outcome) {
  for (const auto& [position, item] : this->waiting) item->End(outcome);
  for (const Item& item : this->running) item->End(outcome);
  this->waiting.clear();
  this->running.clear();
  this->reserved_kv_tokens = 0;
}

}  // namespace anvilcroft::fakes
