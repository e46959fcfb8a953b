#include "anvilcroft/head_watcher.h"

#include <algorithm>
#include <utility>

namespace anvilcroft {
namespace {

constexpr Duration kMaxBackoff = seconds(5);

}  // namespace

HeadWatcher::HeadWatcher(Runtime& runtime, TableClient& table, Duration period, uint64_t seed,
                         Hooks hooks)
    : runtime(runtime), table(table), period(period), random(seed), hooks(std::move(hooks)) {}

void HeadWatcher::Start() {
  this->runtime.Spawn([this](Task& task) { this->Poll(task); });
}

void HeadWatcher::RequestRead() {
  if (this->failing) return;  // the backoff determines the next read
  this->read_requested = true;
  this->read_event->NotifyAll();
}

void HeadWatcher::Halt() {
  this->halted = true;
  this->read_event->NotifyAll();
}

void HeadWatcher::Poll(Task& task) {
  const std::shared_ptr<Event> event = this->read_event;  // must outlive the waits of this task
  Duration pause = this->period;
  while (!this->halted) {
    this->read_requested = false;
    const TimePoint sent_at = SteadyNow();
    const auto row =
        this->table.Read(task, kHeadTable, kHeadKey, sent_at + TableClient::kAttemptTimeout);
    if (this->halted) return;
    const auto head = row ? DecodeHead(*row) : Result<Head>(tl::unexpected<Error>(row.error()));
    if (head) {
      pause = this->period;
      this->failing = false;
      // Row versions only increase, so a lower one is an outdated answer.
      if (!this->newest || head->row_version >= this->newest->row_version) this->newest = *head;
      this->hooks.on_head(*head, sent_at);
    } else {
      pause = std::min(pause * 2, std::max(kMaxBackoff, this->period));
      this->failing = true;
      this->hooks.on_failure();
    }
    const double jitter = std::uniform_real_distribution<double>(0.8, 1.2)(this->random);
    const TimePoint next = sent_at + std::chrono::duration_cast<Duration>(
                                         std::chrono::duration<double>(pause) * jitter);
    while (!this->halted && !this->read_requested && event->WaitUntil(task, next)) {
    }
    SleepUntil(task, std::min(next, sent_at + this->period / 10));
  }
}

}  // namespace anvilcroft
