#ifndef ANVILCROFT_HEAD_WATCHER_H_
#define ANVILCROFT_HEAD_WATCHER_H_

// Reads the head row periodically, and earlier on request.
//
// While reads fail, the time between them doubles up to 5 s.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "anvilcroft/event.h"
#include "anvilcroft/head.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/table_client.h"

namespace anvilcroft {

class HeadWatcher {
 public:
  struct Hooks {
    // Called after a successful read that was sent at `sent_at`.
    std::function<void(const Head& head, TimePoint sent_at)> on_head;
    std::function<void()> on_failure;
  };

  HeadWatcher(Runtime& runtime, TableClient& table, Duration period, uint64_t seed, Hooks hooks);

  void Start();

  // Requests an early read: at once, but not within a tenth of the period after the last one. Has
  // no effect while reads fail.
  void RequestRead();

  // The newest head read, if any.
  const std::optional<Head>& Newest() const { return this->newest; }

  // Stops reading permanently.
  void Halt();

 private:
  void Poll(Task& task);

  Runtime& runtime;
  TableClient& table;
  Duration period;
  std::mt19937_64 random;
  Hooks hooks;
  std::optional<Head> newest;
  std::shared_ptr<Event> read_event = std::make_shared<Event>();
  bool read_requested = false;
  bool failing = false;
  bool halted = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_HEAD_WATCHER_H_
