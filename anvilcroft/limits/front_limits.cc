#include "anvilcroft/limits/front_limits.h"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <string>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "memory";
// Blocks of this size and above are mapped separately. By default, the allocator raises the
// threshold to 32 MiB as such blocks are freed, and keeps what is below it. Stacks of tasks
// (256 KiB) stay below, because mapping one for each request costs about 10 us.
constexpr int kMapThresholdBytes = 320 << 10;
constexpr int kTrimThresholdBytes = 1 << 20;
constexpr Duration kWatchInterval = seconds(1);
// Smallest change of a pool within kWatchInterval that is logged.
constexpr std::size_t kLoggedChangeBytes = 4 << 20;

const char* NameOf(Listener listener) {
  switch (listener) {
    case Listener::kCallers:
      return "callers";
    case Listener::kDirectory:
      return "directory";
    case Listener::kReady:
      return "ready";
    case Listener::kInternal:
      return "internal";
  }
  return "unknown";
}

std::size_t LimitOf(const ConnectionLimits& limits, Listener listener) {
  switch (listener) {
    case Listener::kCallers:
      return limits.callers;
    case Listener::kDirectory:
      return limits.directory;
    case Listener::kReady:
      return limits.ready;
    case Listener::kInternal:
      break;
  }
  return limits.internal;
}

PoolSizes SizesFor(const ProcessLimits& limits, std::size_t base_bytes = 0) {
  return limits.memory_bytes ? PoolSizes::For(*limits.memory_bytes, base_bytes)
                             : PoolSizes::Unlimited();
}

std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (!(statm >> total_pages >> resident_pages)) return 0;
  return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

ConnectionLimits ConnectionsFor(const ProcessLimits& limits) {
  return limits.max_descriptors ? ConnectionLimits::For(*limits.max_descriptors)
                                : ConnectionLimits();
}

void LogLimits(const ProcessLimits& limits, const PoolSizes& sizes,
               const ConnectionLimits& connections) {
  if (limits.memory_bytes) {
    LogInfo(kPart, "memory budget",
            {{"memory", std::to_string(*limits.memory_bytes)},
             {"large", std::to_string(sizes.Of(MemoryPool::kLarge))},
             {"callers", std::to_string(sizes.Of(MemoryPool::kCallers))},
             {"reserved", std::to_string(sizes.Of(MemoryPool::kReserved))}});
  }
  if (limits.max_descriptors) {
    LogInfo(kPart, "connection limits",
            {{"descriptors", std::to_string(*limits.max_descriptors)},
             {"callers", std::to_string(connections.callers)},
             {"directory", std::to_string(connections.directory)},
             {"ready", std::to_string(connections.ready)},
             {"internal", std::to_string(connections.internal)}});
  }
}

}  // namespace

FrontLimits::FrontLimits(const ProcessLimits& limits, Metrics& metrics)
    : metrics(metrics),
      budget(std::make_shared<MemoryBudget>(SizesFor(limits))),
      limits(limits),
      connections(ConnectionsFor(limits)) {
  LogLimits(limits, this->budget->Sizes(), this->connections);
  this->budget->Register(metrics);
  metrics.RegisterGauge("anvilcroft_memory_base_bytes", {},
                        [this] { return static_cast<double>(this->base.Bytes()); });
}

void FrontLimits::Start(Runtime& runtime) {
  runtime.SpawnService("watch the memory", [this](Task& task) {
    while (true) {
      SleepUntil(task, SteadyNow() + kWatchInterval);
      if (this->budget->ShouldTrim()) ::malloc_trim(0);
      this->Adapt();
    }
  });
}

void FrontLimits::Adapt() {
  this->base.Observe(ResidentBytes(), this->budget->TotalUsed(), SteadyNow());
  const PoolSizes sizes = SizesFor(this->limits, this->base.Bytes());
  const std::size_t before = this->budget->Sizes().Of(MemoryPool::kLarge);
  const std::size_t after = sizes.Of(MemoryPool::kLarge);
  this->budget->SetSizes(sizes);
  if (std::max(before, after) - std::min(before, after) < kLoggedChangeBytes) return;
  LogInfo(kPart, "the pools follow the memory of the process",
          {{"base", std::to_string(this->base.Bytes())},
           {"large", std::to_string(after)},
           {"before", std::to_string(before)}});
}

void FrontLimits::Apply(const ProcessLimits& changed) {
  if (changed == this->limits) return;
  this->limits = changed;
  this->budget->SetSizes(SizesFor(changed, this->base.Bytes()));
  this->connections = ConnectionsFor(changed);
  for (const auto& [listener, server] : this->servers) {
    server->SetMaxConnections(LimitOf(this->connections, listener));
  }
  LogLimits(changed, this->budget->Sizes(), this->connections);
}

void FrontLimits::Register(Listener listener, HttpServer& server) {
  this->servers[listener] = &server;
  server.SetMaxConnections(LimitOf(this->connections, listener));
  const MetricLabels labels = {{"listener", NameOf(listener)}};
  this->metrics.RegisterGauge("anvilcroft_connections", labels,
                              [&server] { return static_cast<double>(server.Connections()); });
  this->metrics.RegisterGauge("anvilcroft_connections_limit", labels, [this, listener] {
    return static_cast<double>(LimitOf(this->connections, listener));
  });
  this->metrics.RegisterCounter("anvilcroft_connections_closed_for_limit_total", labels,
                                [&server] { return static_cast<double>(server.ClosedForLimit()); });
}

MemoryPool FrontLimits::PoolOf(Listener listener) {
  return listener == Listener::kCallers ? MemoryPool::kCallers : MemoryPool::kReserved;
}

std::shared_ptr<void> FrontLimits::Reserve(std::size_t bytes) {
  auto charge =
      this->budget->Open(bytes > kSmallBodyBytes ? MemoryPool::kLarge : MemoryPool::kCallers);
  return charge->Resize(bytes, SteadyNow()) ? charge : nullptr;
}

void ConfigureAllocator() {
  ::mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  ::mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace anvilcroft
