#include "anvilcroft/log_timeline.h"

#include <algorithm>
#include <utility>

namespace anvilcroft {
namespace {

constexpr char kJobField[] = "batch";
constexpr char kItemField[] = "item";
// This part logs a line for every few results of a job, which is only useful in the timeline of the
// job itself.
constexpr char kListingPart[] = "listing";

}  // namespace

void LogTimeline::AddLine(std::string_view text, const std::string& file) {
  auto line = ParseLogLine(text);
  if (!line) return;
  const bool about_id = line->HasValue(this->id);
  const std::string job = line->Field(kJobField);
  const bool about_job =
      !job.empty() && line->Field(kItemField).empty() && line->part != kListingPart;
  if (!about_id && !about_job) return;
  if (this->id_lines.size() + this->job_lines.size() >= kMaxLines) {
    ++this->left_out;
    return;
  }
  if (line->source.empty()) line->source = file;
  if (about_id && !job.empty()) this->job_ids.insert(job);
  (about_id ? this->id_lines : this->job_lines).push_back(std::move(*line));
}

std::vector<LogLine> LogTimeline::Lines() const {
  std::vector<LogLine> lines = this->id_lines;
  for (const LogLine& line : this->job_lines) {
    if (this->job_ids.count(line.Field(kJobField)) != 0) lines.push_back(line);
  }
  // Timestamps have a fixed width, so they can be compared as text.
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return lines;
}

}  // namespace anvilcroft
