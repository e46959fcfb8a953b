#ifndef FAKES_SAMPLE_CHECKER_H_
#define FAKES_SAMPLE_CHECKER_H_

// Checks the samples that a fake trainer received against those it requested: each sample must
// arrive exactly once, whole, within the staleness bound, with the weight versions of all its
// tokens and the expected reward.

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace anvilcroft::fakes {

class SampleChecker {
 public:
  struct Group {
    std::string prompt;
    int64_t samples = 0;
    int64_t max_tokens = 0;
  };

  // `staleness_bound` is in weight versions. `checks_rewards`: whether rewards must be those of
  // FakeJudge.
  SampleChecker(int64_t staleness_bound, bool checks_rewards)
      : staleness_bound(staleness_bound), checks_rewards(checks_rewards) {}

  // Adds the samples of `groups` to those expected for `step`.
  void ExpectStep(int64_t step, const std::vector<Group>& groups);

  // Checks and records one sample of a take that stated `weight_version`.
  void AddSample(int64_t step, int64_t weight_version, const nlohmann::json& sample, int64_t at_ms);

  // Whether at least as many samples of the step were received as are expected.
  bool StepComplete(int64_t step) const;

  // Whether every sample of every expected step arrived exactly once and without a fault.
  bool Ok() const;

  // Counts of samples and of each kind of fault.
  nlohmann::json Summary() const;
  // Every sample: {step, sample, weight_versions, taken_at_version, reward, attempt, at_ms}.
  const nlohmann::json& Records() const { return this->records; }

 private:
  struct Step {
    int64_t expected = 0;
    int64_t received = 0;
    std::set<std::string> sample_names;
    // By expected output: the number of samples not yet received, and their length in tokens. All
    // samples of a group have the same output; those of other groups and steps differ.
    std::map<std::string, int64_t> outstanding;
    std::map<std::string, int64_t> lengths;
  };

  void CheckVersions(const nlohmann::json& versions, int64_t weight_version, int64_t tokens);
  int64_t MissingSamples() const;

  int64_t staleness_bound;
  bool checks_rewards;
  std::map<int64_t, Step> steps;
  nlohmann::json records = nlohmann::json::array();
  int64_t duplicates = 0;
  int64_t stale = 0;
  int64_t wrong_outputs = 0;
  int64_t wrong_rewards = 0;
  int64_t wrong_versions = 0;  // samples whose weight versions do not cover their tokens
  int64_t regenerated = 0;     // samples of a second or later attempt; not a fault
  int64_t max_staleness = 0;
  int64_t total_staleness = 0;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_SAMPLE_CHECKER_H_
