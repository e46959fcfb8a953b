#include "anvilcroft/log_timeline.h"

#include <algorithm>
#include <utility>

namespace anvilcroft {
namespace {

constexpr char kJobField[] = "batch";
constexpr char kItemField[] = "item";
// Writes a line for each few results of a job; only of use to those who ask for the job itself.
constexpr char kListingPart[] = "listing";

}  // namespace

void LogStory::Take(std::string_view text, const std::string& file) {
  auto line = ParseLogLine(text);
  if (!line) return;
  const bool about_id = line->HasValue(this->id);
  const std::string job = line->Field(kJobField);
  const bool about_job =
      !job.empty() && line->Field(kItemField).empty() && line->part != kListingPart;
  if (!about_id && !about_job) return;
  if (this->own.size() + this->of_jobs.size() >= kMaxLines) {
    ++this->left_out;
    return;
  }
  if (line->source.empty()) line->source = file;
  if (about_id && !job.empty()) this->jobs.insert(job);
  (about_id ? this->own : this->of_jobs).push_back(std::move(*line));
}

std::vector<LogLine> LogStory::Lines() const {
  std::vector<LogLine> lines = this->own;
  for (const LogLine& line : this->of_jobs) {
    if (this->jobs.count(line.Field(kJobField)) != 0) lines.push_back(line);
  }
  // Times are of one width, so that they order as text.
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return lines;
}

}  // namespace anvilcroft
