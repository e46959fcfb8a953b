#include "anvilcroft/process_stats.h"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <system_error>

namespace anvilcroft {
namespace {

double ToSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

}  // namespace

ProcessStats ReadProcessStats() {
  ProcessStats stats;
  std::ifstream statm("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  if (statm >> total_pages >> resident_pages) {
    stats.resident_bytes = resident_pages * ::sysconf(_SC_PAGESIZE);
  }
  rusage usage = {};
  if (::getrusage(RUSAGE_SELF, &usage) == 0) {
    stats.cpu_seconds = ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime);
  }
  std::error_code failed;
  const std::filesystem::directory_iterator descriptors("/proc/self/fd", failed);
  if (!failed) {
    // Excludes the descriptor that the iterator itself holds.
    stats.open_descriptors = std::distance(begin(descriptors), end(descriptors)) - 1;
  }
  rlimit limit = {};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    stats.max_descriptors = static_cast<int64_t>(limit.rlim_cur);
  }
  return stats;
}

std::string ProcessStats::Render() const {
  std::ostringstream out;
  out << std::setprecision(15) << "# TYPE process_resident_memory_bytes gauge\n"
      << "process_resident_memory_bytes " << this->resident_bytes << "\n"
      << "# TYPE process_cpu_seconds_total counter\n"
      << "process_cpu_seconds_total " << this->cpu_seconds << "\n"
      << "# TYPE process_open_fds gauge\n"
      << "process_open_fds " << this->open_descriptors << "\n"
      << "# TYPE process_max_fds gauge\n"
      << "process_max_fds " << this->max_descriptors << "\n";
  return out.str();
}

}  // namespace anvilcroft
