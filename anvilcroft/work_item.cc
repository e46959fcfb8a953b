#include "anvilcroft/work_item.h"

#include <utility>

#include "anvilcroft/crash_guard.h"
#include "anvilcroft/json.h"
#include "anvilcroft/prefix_homes.h"

namespace anvilcroft {
namespace {

constexpr int64_t kDefaultMaxTokens = 256;
constexpr int64_t kMaxTokensLimit = 1 << 20;

}  // namespace

const char* PriorityName(Priority priority) {
  switch (priority) {
    case Priority::kHigh:
      return "high";
    case Priority::kNormal:
      return "normal";
    case Priority::kLow:
      return "low";
  }
  return "normal";
}

Result<WorkItem> MakeWorkItem(const WorkRequest& request, const ConfigDocument& config) {
  const ServiceConfig* service = config.FindService(request.Service());
  if (service == nullptr) {
    return Fail(ErrorCode::kNotFound, "no such service", request.Service());
  }
  const OperationConfig* operation = service->FindOperation(request.Operation());
  if (operation == nullptr) {
    return Fail(ErrorCode::kNotFound, "the service has no such operation", request.Operation());
  }
  if (!operation->repeatable && request.IdempotencyKey().empty()) {
    return Fail(ErrorCode::kKeyRequired,
                "the operation is not repeatable and requires an idempotency key",
                "Idempotency-Key");
  }
  WorkItem item;
  item.request = request;
  item.kind = service->Kind();
  item.operation = *operation;
  item.fingerprint =
      CrashGuard::Fingerprint(request.Service(), request.Operation(), request.Body());
  auto body = ParseJson(request.Body());
  if (!body) return tl::unexpected<Error>(body.error().WithPart("body: " + body.error().part));
  if (item.kind != TargetKind::kModelEngine) return item;

  JsonFields fields(*body, "body");
  if (fields.Optional("prompt").is_null()) fields.RecordError("prompt", "is missing");
  item.max_tokens = fields.IntegerOr("max_tokens", kDefaultMaxTokens, 1, kMaxTokensLimit);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  item.short_work = item.max_tokens <= service->ShortMaxTokens();
  const nlohmann::json& prompt = fields.Optional("prompt");
  if (prompt.is_string()) item.prefix = PrefixHomes::KeyOf(prompt.get_ref<const std::string&>());
  item.engine_body = std::move(*body);
  item.engine_body["max_tokens"] = item.max_tokens;
  item.engine_body["priority"] = PriorityName(request.RequestPriority());
  return item;
}

}  // namespace anvilcroft
