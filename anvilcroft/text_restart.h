#ifndef ANVILCROFT_TEXT_RESTART_H_
#define ANVILCROFT_TEXT_RESTART_H_

// Decides when an unfinished text that must be of one weight version is dropped and started anew on
// an engine with another one.
//
// Load pattern: a step on a route with one version a text is under way when the next version is
// named. Engines without runs load it, and none goes back to a former version. The engine of a long
// text fails, and no other engine with its version is left: the text can't be completed any more.
// Or such an engine is listed but does not answer, is full or is about to load: it may take the
// text up again within seconds, or never.
//
// Dropping a text costs the time to generate it again; waiting costs the time until an engine takes
// it up, which nobody knows. A wait as long as the text takes costs at most twice the better
// choice, whatever happens (the ski rental problem, Karlin et al., "Competitive snoopy caching",
// Algorithmica 3, 1988).

#include <cstdint>
#include <string>

#include "anvilcroft/engine_tracker.h"
#include "anvilcroft/target_pool.h"
#include "anvilcroft/time.h"
#include "anvilcroft/traffic_split.h"

namespace anvilcroft {

// Longest wait for an engine with the version of a text, however long the text is: most faults of
// engines are over within this time.
constexpr Duration kMaxVersionWait = seconds(3);

// Whether `engine` may run `model` under `version` at some time: it is listed, does not leave, and
// has the version, or it is not known which one it has. An engine that loads another version does
// not go back.
bool MayHaveVersion(const EngineState& engine, const PoolTarget* target, const std::string& model,
                    int64_t version);

// Whether any engine of the services in `split` may run `model` under `version`.
bool AnyMayHaveVersion(EngineTracker& engines, const TargetPool& pool, const TrafficSplit& split,
                       const std::string& model, int64_t version);

// Whether a text is started anew. `version_left`: whether an engine may still have its version;
// `held_for`: time for which other engines could have run the item and none with its version could;
// `text_time`: time to generate the text so far again.
bool ShouldRestartText(bool version_left, Duration held_for, Duration text_time);

}  // namespace anvilcroft

#endif  // ANVILCROFT_TEXT_RESTART_H_
