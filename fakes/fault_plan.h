#ifndef FAKES_FAULT_PLAN_H_
#define FAKES_FAULT_PLAN_H_

// The faults that a fake currently injects, as set by POST /control/faults.
//
// All fakes accept the same fields and ignore those that do not apply to them. A request changes
// only the fields that it contains: {"mode": "up"} ends an outage and leaves a pending lose_answers
// unchanged.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/time.h"

namespace anvilcroft::fakes {

struct FaultPlan {
  enum class Mode {
    kUp,
    kDown,    // responds with 503 without executing requests
    kSilent,  // reads requests, does not execute them, sends nothing, keeps the connections open
    kSlow,    // delays each request by delay_ms; engines slow down by `factor`
    kRefuse,  // closes the listener for refuse_ms; requests in progress continue
  };

  Mode mode = Mode::kUp;
  int64_t delay_ms = 0;          // kSlow: delay of each request
  double factor = 1;             // kSlow: slowdown of an engine
  int64_t refuse_ms = 10000;     // kRefuse: its duration; the mode is kUp afterwards
  int64_t lose_answers = 0;      // the next n calls are executed, then aborted without a response
  int64_t delay_apply_ms = 0;    // table: delay until a transaction with a lost response applies
  std::string match_table;       // table: faults affect only transactions that use this table
  int64_t silent_after_run = 0;  // app: the next n calls are executed and never answered
  int64_t fail_swaps = 0;        // engine: the next n weight swaps fail
  int64_t wrong_request_id = 0;  // engine, app: the next n responses have a wrong request id
  int64_t late_answers_ms = 0;   // delay of each response after its execution

  // Decrements the counter of a fault. Returns false if it is already 0.
  static bool ConsumeOne(int64_t& count);
};

// Returns a copy of `current` with the fields of `changes` replaced. Fails with kInvalidArgument on
// an unknown or malformed field, so that a misspelt fault is not silently ignored.
Result<FaultPlan> ChangeFaults(const FaultPlan& current, const nlohmann::json& changes);

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAULT_PLAN_H_
