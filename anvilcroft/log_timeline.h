#ifndef ANVILCROFT_LOG_TIMELINE_H_
#define ANVILCROFT_LOG_TIMELINE_H_

// Collects what the logs of all instances say of one request, item, or batch job.
//
//   LogStory story("e5b2907c14da6f38");
//   while (std::getline(input, text)) story.Take(text, file);
//   for (const LogLine& line : story.Lines()) ...

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "anvilcroft/log_line.h"

namespace anvilcroft {

class LogStory {
 public:
  // Most lines kept. Beyond it lines are left out and counted.
  static constexpr std::size_t kMaxLines = 200'000;

  explicit LogStory(std::string id) : id(std::move(id)) {}

  // Takes the next line of a log. `file` names its source if the line does not.
  void Take(std::string_view text, const std::string& file);

  // The lines about the id in the order of their times, and those about the batch jobs as a whole
  // that it belongs to.
  std::vector<LogLine> Lines() const;

  // Lines that were left out because there were too many.
  std::size_t LeftOut() const { return this->left_out; }

 private:
  std::string id;
  std::vector<LogLine> own;
  std::vector<LogLine> of_jobs;  // lines about any batch job as a whole
  std::set<std::string> jobs;    // that lines about the id name
  std::size_t left_out = 0;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LOG_TIMELINE_H_
