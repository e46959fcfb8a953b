#ifndef FAKES_FAULT_PLAN_H_
#define FAKES_FAULT_PLAN_H_

// The faults a fake shows at present, as POST /control/faults sets them.
//
// Every fake takes the same fields and ignores those that do not concern it. A request changes
// only the fields it names: {"mode": "up"} ends an outage and keeps a pending lose_answers.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/time.h"

namespace anvilcroft::fakes {

struct FaultPlan {
  enum class Mode {
    kUp,
    kDown,    // answers 503 without running anything
    kSilent,  // reads requests, runs nothing, sends no byte and keeps the connection open
    kSlow,    // delays by delay_ms; engines slow down by factor
    kRefuse,  // the listener is closed for refuse_ms; requests that run go on
  };

  Mode mode = Mode::kUp;
  int64_t delay_ms = 0;          // delay of each request while slow
  double factor = 1;             // slowdown of an engine while slow
  int64_t refuse_ms = 10000;     // how long kRefuse lasts; the mode is kUp afterwards
  int64_t lose_answers = 0;      // the next n calls run and are then aborted without an answer
  int64_t delay_apply_ms = 0;    // table: a lost transaction applies this long after the abort
  std::string match_table;       // table: only transactions that touch this table show faults
  int64_t silent_after_run = 0;  // app: the next n calls run and are then never answered
  int64_t fail_swaps = 0;        // engine: the next n swaps fail
  int64_t wrong_request_id = 0;  // engine, app: the next n answers carry another request id
  int64_t late_answers_ms = 0;   // delay of each finished answer

  // Takes one of a counted fault; false when none is left.
  static bool TakeOne(int64_t& count);
};

// A copy of `current` with the fields of `changes` replaced. Fails with kInvalidArgument on an
// unknown or malformed field, so that a misspelt fault does not pass for a harmless one.
Result<FaultPlan> ChangeFaults(const FaultPlan& current, const nlohmann::json& changes);

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAULT_PLAN_H_
