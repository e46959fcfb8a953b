#ifndef ANVILCROFT_WORK_ITEM_H_
#define ANVILCROFT_WORK_ITEM_H_

// A validated WorkRequest with its settings from the configuration, ready for dispatch. Immutable
// once made, and shared by the tasks that run it.

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
  // Whether max_tokens is within the service's short_max_tokens; always true for other kinds
  // than model engines.
  bool short_work = true;
  // For model engines: the request body for the engine, and the maximum number of output tokens.
  nlohmann::json engine_body;
  int64_t max_tokens = 0;
  std::string prefix;  // PrefixHomes::KeyOf(prompt) if the prompt is a string; otherwise empty
};

// Looks up the service and operation of `request` in `config` and validates its body. Fails with
// kNotFound, kKeyRequired or kInvalidArgument, all with ran = no.
Result<WorkItem> MakeWorkItem(const WorkRequest& request, const ConfigDocument& config);

const char* PriorityName(Priority priority);

}  // namespace anvilcroft

#endif  // ANVILCROFT_WORK_ITEM_H_
