#ifndef ANVILCROFT_HEAD_WATCHER_H_
#define ANVILCROFT_HEAD_WATCHER_H_

// Reads the head row periodically, and at once when something says that it changed.
//
// While the table service does not answer, the time between reads doubles up to 5 s.

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
    // A read succeeded that was sent at `asked_at`.
    std::function<void(const Head& head, TimePoint asked_at)> on_head;
    std::function<void()> on_failure;
  };

  HeadWatcher(Runtime& runtime, TableClient& table, Duration period, uint64_t seed, Hooks hooks);

  void Start();

  // Reads soon: at once, but not more often than once in a tenth of the period, and not while the
  // table service does not answer.
  void Poke();

  // The newest head read, if any.
  const std::optional<Head>& Newest() const { return this->newest; }

  // Ends the reads for good.
  void Halt();

 private:
  void Poll(Task& task);

  Runtime& runtime;
  TableClient& table;
  Duration period;
  std::mt19937_64 random;
  Hooks hooks;
  std::optional<Head> newest;
  std::shared_ptr<Event> wake = std::make_shared<Event>();
  bool poked = false;
  bool failing = false;
  bool halted = false;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_HEAD_WATCHER_H_
