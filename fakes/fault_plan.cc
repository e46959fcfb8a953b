#include "fakes/fault_plan.h"

#include "anvilcroft/json.h"

namespace anvilcroft::fakes {
namespace {

constexpr int64_t kMaxMillis = 3600 * 1000;
constexpr int64_t kMaxCount = 1000000;

Result<FaultPlan::Mode> ParseMode(const std::string& name) {
  if (name == "up") return FaultPlan::Mode::kUp;
  if (name == "down") return FaultPlan::Mode::kDown;
  if (name == "silent") return FaultPlan::Mode::kSilent;
  if (name == "slow") return FaultPlan::Mode::kSlow;
  if (name == "refuse") return FaultPlan::Mode::kRefuse;
  return Fail(ErrorCode::kInvalidArgument, "must be up, down, silent, slow or refuse", "mode");
}

}  // namespace

bool FaultPlan::ConsumeOne(int64_t& count) {
  if (count <= 0) return false;
  --count;
  return true;
}

Result<FaultPlan> ChangeFaults(const FaultPlan& current, const nlohmann::json& changes) {
  JsonFields fields(changes, "faults");
  FaultPlan plan = current;
  const std::string mode = fields.StringOr("mode", "");
  plan.delay_ms = fields.IntegerOr("delay_ms", plan.delay_ms, 0, kMaxMillis);
  plan.factor = fields.NumberOr("factor", plan.factor, 0.01, 10000);
  plan.refuse_ms = fields.IntegerOr("refuse_ms", plan.refuse_ms, 0, kMaxMillis);
  plan.lose_answers = fields.IntegerOr("lose_answers", plan.lose_answers, 0, kMaxCount);
  plan.delay_apply_ms = fields.IntegerOr("delay_apply_ms", plan.delay_apply_ms, 0, kMaxMillis);
  plan.match_table = fields.StringOr("match_table", plan.match_table);
  plan.silent_after_run = fields.IntegerOr("silent_after_run", plan.silent_after_run, 0, kMaxCount);
  plan.fail_swaps = fields.IntegerOr("fail_swaps", plan.fail_swaps, 0, kMaxCount);
  plan.wrong_request_id = fields.IntegerOr("wrong_request_id", plan.wrong_request_id, 0, kMaxCount);
  plan.late_answers_ms = fields.IntegerOr("late_answers_ms", plan.late_answers_ms, 0, kMaxMillis);
  fields.RejectUnknownFields();
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  if (!mode.empty()) {
    const auto parsed = ParseMode(mode);
    if (!parsed) return tl::unexpected<Error>(parsed.error());
    plan.mode = *parsed;
  }
  return plan;
}

}  // namespace anvilcroft::fakes
