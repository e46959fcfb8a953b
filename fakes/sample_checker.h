#ifndef FAKES_SAMPLE_CHECKER_H_
#define FAKES_SAMPLE_CHECKER_H_

// What a fake trainer received, checked against what it asked for: each sample exactly once, whole,
// within the staleness bound, with the weight versions of all its tokens and the right reward.

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

  // `checks_rewards`: the judge is FakeJudge.
  SampleChecker(int64_t staleness_bound, bool checks_rewards)
      : staleness_bound(staleness_bound), checks_rewards(checks_rewards) {}

  void ExpectStep(int64_t step, const std::vector<Group>& groups);

  // Records one sample of a take that stated `weight_version`.
  void AddSample(int64_t step, int64_t weight_version, const nlohmann::json& sample, int64_t at_ms);

  // Whether as many samples of the step came as were asked for.
  bool StepComplete(int64_t step) const;

  // Whether every sample of every expected step arrived exactly once and faultless.
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
    // By expected output: the samples still to come and their length. Samples of one group have
    // one output, which also tells the groups and steps apart.
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
  int64_t wrong_versions = 0;  // versions that do not cover the tokens
  int64_t regenerated = 0;     // samples of a later attempt; no fault
  int64_t max_staleness = 0;
  int64_t total_staleness = 0;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_SAMPLE_CHECKER_H_
