#ifndef ANVILCROFT_PROCESS_STATS_H_
#define ANVILCROFT_PROCESS_STATS_H_

// Resource usage of this process as reported by the operating system.

#include <cstdint>
#include <string>

namespace anvilcroft {

struct ProcessStats {
  int64_t resident_bytes = 0;
  double cpu_seconds = 0;  // user and system time since the start of the process
  int64_t open_descriptors = 0;
  int64_t max_descriptors = 0;

  // Returns the metrics process_resident_memory_bytes, process_cpu_seconds_total, process_open_fds
  // and process_max_fds in the Prometheus text format.
  std::string Render() const;
};

// Reads the current values. A value that cannot be read is 0.
ProcessStats ReadProcessStats();

}  // namespace anvilcroft

#endif  // ANVILCROFT_PROCESS_STATS_H_
