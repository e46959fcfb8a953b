#ifndef ANVILCROFT_LOG_TIMELINE_H_
#define ANVILCROFT_LOG_TIMELINE_H_

// Collects the log lines of all instances about one request, item or batch job, sorted by time.
//
//   LogTimeline timeline("e5b2907c14da6f38");
//   while (std::getline(input, text)) timeline.AddLine(text, file);
//   for (const LogLine& line : timeline.Lines()) ...

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "anvilcroft/log_line.h"

namespace anvilcroft {

class LogTimeline {
 public:
  // Maximum number of lines kept. Further lines are only counted.
  static constexpr std::size_t kMaxLines = 200'000;

  explicit LogTimeline(std::string id) : id(std::move(id)) {}

  // Adds a line of a log if it is about the id or a batch job. `file` becomes the source of a line
  // that names none. Text that is not a log line is ignored.
  void AddLine(std::string_view text, const std::string& file);

  // Returns the lines about the id and the lines about its batch jobs as a whole, sorted by time.
  std::vector<LogLine> Lines() const;

  // Lines that were left out because there were too many.
  std::size_t LeftOut() const { return this->left_out; }

 private:
  std::string id;
  std::vector<LogLine> id_lines;
  std::vector<LogLine> job_lines;  // lines about any batch job as a whole
  std::set<std::string> job_ids;   // batch jobs named in id_lines
  std::size_t left_out = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOG_TIMELINE_H_
