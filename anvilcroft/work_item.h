#ifndef ANVILCROFT_WORK_ITEM_H_
#define ANVILCROFT_WORK_ITEM_H_

// A WorkRequest together with what the configuration says of it: checked, classified and ready to
// dispatch. Immutable once made, and shared by the tasks that run it.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "anvilcroft/config_document.h"
#include "anvilcroft/error.h"
#include "anvilcroft/work_request.h"

namespace anvilcroft {

struct WorkItem {
  WorkRequest request;
  TargetKind kind = TargetKind::kAppEngine;
  OperationConfig operation;
  std::string fingerprint;  // CrashGuard::Fingerprint
  bool short_work = true;
  // For model engines: the body for the engine, and the most tokens of the output.
  nlohmann::json engine_body;
  int64_t max_tokens = 0;
  std::string prefix;  // PrefixHomes::KeyOf its prompt, if that is a string
};

// Finds the service and operation of `request` and checks its body. Fails with kNotFound,
// kKeyRequired or kInvalidArgument, all with ran = no.
Result<WorkItem> MakeWorkItem(const WorkRequest& request, const ConfigDocument& config);

const char* PriorityName(Priority priority);

}  // namespace anvilcroft

#endif  // ANVILCROFT_WORK_ITEM_H_
