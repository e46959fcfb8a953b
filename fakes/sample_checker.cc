#include "fakes/sample_checker.h"

#include <algorithm>
#include <cmath>

#include "anvilcroft/json.h"
#include "fakes/expected_text.h"

namespace anvilcroft::fakes {

using nlohmann::json;

void SampleChecker::ExpectStep(int64_t step, const std::vector<Group>& groups) {
  Step& entry = this->steps[step];
  for (const Group& group : groups) {
    const std::string output = ExpectedText(group.prompt, group.max_tokens);
    entry.expected += group.samples;
    entry.outstanding[output] += group.samples;
    entry.lengths[output] = group.max_tokens;
  }
}

void SampleChecker::AddSample(int64_t step, int64_t weight_version, const json& sample,
                              int64_t at_ms) {
  constexpr std::size_t kMaxOutputBytes = 4 << 20;
  JsonFields fields(sample, "sample");
  const std::string name = fields.StringOr("sample", "", 4096);
  const std::string output = fields.StringOr("output", "", kMaxOutputBytes);
  const double reward = fields.NumberOr("reward", -1, -1, 1e9);
  const int64_t attempt = fields.IntegerOr("attempt", 1, 0, INT32_MAX);
  const json& versions = fields.Optional("weight_versions");
  Step& entry = this->steps[step];
  ++entry.received;
  const bool is_new = entry.sample_names.insert(name).second;
  const auto remaining = entry.outstanding.find(output);
  const bool known_output = remaining != entry.outstanding.end();
  if (!known_output) ++this->wrong_outputs;
  if (!is_new || (known_output && remaining->second == 0)) {
    ++this->duplicates;
  } else if (known_output) {
    --remaining->second;
  }
  if (this->checks_rewards && std::abs(reward - ExpectedReward(output)) > 1e-6) {
    ++this->wrong_rewards;
  }
  if (attempt > 1) ++this->regenerated;
  this->CheckVersions(versions, weight_version, known_output ? entry.lengths[output] : 0);
  this->records.push_back({{"step", step},
                           {"sample", name},
                           {"weight_versions", versions},
                           {"taken_at_version", weight_version},
                           {"reward", reward},
                           {"attempt", attempt},
                           {"at_ms", at_ms}});
}

void SampleChecker::CheckVersions(const json& versions, int64_t weight_version, int64_t tokens) {
  int64_t covered_tokens = 0;
  int64_t lowest = INT64_MAX;
  if (versions.is_array()) {
    for (const json& item : versions) {
      JsonFields span(item, "span");
      lowest = std::min(lowest, span.IntegerOr("version", INT64_MIN, INT64_MIN, INT64_MAX));
      covered_tokens += span.IntegerOr("tokens", 0, 0, INT64_MAX);
    }
  }
  if (covered_tokens != tokens || lowest == INT64_MAX || lowest < 0) {
    ++this->wrong_versions;
    return;
  }
  const int64_t staleness = std::max<int64_t>(0, weight_version - lowest);
  if (staleness > this->staleness_bound) ++this->stale;
  this->max_staleness = std::max(this->max_staleness, staleness);
  this->total_staleness += staleness;
}

bool SampleChecker::StepComplete(int64_t step) const {
  const auto found = this->steps.find(step);
  return found != this->steps.end() && found->second.received >= found->second.expected;
}

int64_t SampleChecker::MissingSamples() const {
  int64_t missing = 0;
  for (const auto& [step, entry] : this->steps) {
    for (const auto& [output, remaining] : entry.outstanding) missing += remaining;
  }
  return missing;
}

bool SampleChecker::Ok() const {
  return this->MissingSamples() == 0 && this->duplicates == 0 && this->stale == 0 &&
         this->wrong_outputs == 0 && this->wrong_rewards == 0 && this->wrong_versions == 0;
}

json SampleChecker::Summary() const {
  const auto count = static_cast<int64_t>(this->records.size());
  return {
      {"samples", count},
      {"missing", this->MissingSamples()},
      {"duplicates", this->duplicates},
      {"stale", this->stale},
      {"wrong_outputs", this->wrong_outputs},
      {"wrong_rewards", this->wrong_rewards},
      {"wrong_versions", this->wrong_versions},
      {"regenerated", this->regenerated},
      {"max_staleness", this->max_staleness},
      {"mean_staleness",
       count == 0 ? 0.0 : static_cast<double>(this->total_staleness) / static_cast<double>(count)}};
}

}  // namespace anvilcroft::fakes
