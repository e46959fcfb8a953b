#include "anvilcroft/trainer_api.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

#include "anvilcroft/json.h"
#include "anvilcroft/row_key.h"

namespace anvilcroft {
namespace {

Result<TimePoint> DeadlineOf(const HttpRequest& request, TimePoint now) {
  const std::string_view text = request.Headers().Find("X-Deadline-Ms");
  if (text.empty()) return now + TrainerApi::kDefaultDeadline;
  int64_t millis = 0;
  const auto [stop, failed] = std::from_chars(text.data(), text.data() + text.size(), millis);
  if (failed != std::errc() || stop != text.data() + text.size() || millis < 1) {
    return Fail(ErrorCode::kInvalidArgument, "must be a positive number of milliseconds",
                "X-Deadline-Ms");
  }
  const int64_t longest = ToMillis(TrainerApi::kMaxDeadline);
  return now + milliseconds(std::min(millis, longest));
}

Result<std::string> TrainerName(const PathParts& parts) {
  const std::string& name = parts.at("trainer");
  if (name.size() > GroupId::kMaxNameBytes) {
    return Fail(ErrorCode::kTooLarge, "the trainer's name is too long", "trainer");
  }
  return name;
}

}  // namespace

TrainerApi::TrainerApi(ClusterView view, StoreAccess store, SampleStore& samples,
                       SampleDelivery& delivery, WeightCatalog& weights, Hooks hooks)
    : view(std::move(view)),
      store(std::move(store)),
      samples(samples),
      delivery(delivery),
      weights(weights),
      hooks(std::move(hooks)) {}

void TrainerApi::AddRoute(HttpRouter& router, const char* method, const char* pattern,
                          RouteHandler handler) {
  router.Add(method, pattern,
             [handler = std::move(handler)](Task& task, const HttpRequest& request,
                                            const PathParts& parts, HttpReply& reply) {
               const auto deadline = DeadlineOf(request, SteadyNow());
               const Answer answer = deadline ? handler(task, request, parts, *deadline)
                                              : tl::unexpected<Error>(deadline.error());
               reply.Send(task, answer ? JsonResponse(200, DumpJson(*answer))
                                       : ErrorResponse(answer.error()));
             });
}

void TrainerApi::RegisterRoutes(HttpRouter& router) {
  this->AddRoute(
      router, "PUT", "/v1/trainers/{trainer}",
      [this](Task& task, const HttpRequest& request, const PathParts& parts, TimePoint deadline) {
        return this->PutTrainer(task, request, parts, deadline);
      });
  this->AddRoute(router, "POST", "/v1/weights",
                 [this](Task& task, const HttpRequest& request, const PathParts&,
                        TimePoint deadline) { return this->PostWeights(task, request, deadline); });
  this->AddRoute(
      router, "POST", "/v1/trainers/{trainer}/steps",
      [this](Task& task, const HttpRequest& request, const PathParts& parts, TimePoint deadline) {
        return this->PostStep(task, request, parts, deadline);
      });
  this->AddRoute(
      router, "POST", "/v1/trainers/{trainer}/takes",
      [this](Task& task, const HttpRequest& request, const PathParts& parts, TimePoint deadline) {
        return this->PostTake(task, request, parts, deadline);
      });
  this->AddRoute(router, "GET", "/v1/samples",
                 [this](Task& task, const HttpRequest& request, const PathParts&,
                        TimePoint deadline) { return this->ListSamples(task, request, deadline); });
}

Result<void> TrainerApi::CheckService(const std::string& service, const char* field) const {
  if (this->view.config()->FindService(service) != nullptr) return {};
  return Fail(ErrorCode::kNotFound, "no such service", field);
}

TrainerApi::Answer TrainerApi::PutTrainer(Task& task, const HttpRequest& request,
                                          const PathParts& parts, TimePoint deadline) {
  if (const auto may = this->view.may_serve(SteadyNow()); !may) {
    return tl::unexpected<Error>(may.error());
  }
  const auto name = TrainerName(parts);
  if (!name) return tl::unexpected<Error>(name.error());
  const auto body = ParseJson(request.Body());
  if (!body) return tl::unexpected<Error>(body.error());
  const auto record = TrainerRecord::DecodeBody(*name, *body);
  if (!record) return tl::unexpected<Error>(record.error());
  if (const auto known = this->CheckService(record->service, "service"); !known) {
    return tl::unexpected<Error>(known.error());
  }
  const auto put = this->samples.PutTrainer(task, *record, deadline);
  if (!put) return tl::unexpected<Error>(put.error());
  return record->Encode();
}

TrainerApi::Answer TrainerApi::PostWeights(Task& task, const HttpRequest& request,
                                           TimePoint deadline) {
  if (const auto may = this->view.may_serve(SteadyNow()); !may) {
    return tl::unexpected<Error>(may.error());
  }
  const auto body = ParseJson(request.Body());
  if (!body) return tl::unexpected<Error>(body.error());
  auto record = WeightRecord::Decode(*body);
  if (!record) return tl::unexpected<Error>(record.error());
  if (const auto known = this->CheckService(record->service, "service"); !known) {
    return tl::unexpected<Error>(known.error());
  }
  record->published_ms = WallNow();
  const auto published = this->weights.Publish(task, *record, deadline);
  if (!published) return tl::unexpected<Error>(published.error());
  this->hooks.weights_published();
  return published->Encode();
}

TrainerApi::Answer TrainerApi::PostStep(Task& task, const HttpRequest& request,
                                        const PathParts& parts, TimePoint deadline) {
  if (const auto may = this->view.may_serve(SteadyNow()); !may) {
    return tl::unexpected<Error>(may.error());
  }
  const auto name = TrainerName(parts);
  if (!name) return tl::unexpected<Error>(name.error());
  const auto body = ParseJson(request.Body());
  if (!body) return tl::unexpected<Error>(body.error());
  const auto step = StepRequest::Decode(*name, *body);
  if (!step) return tl::unexpected<Error>(step.error());
  if (const auto known = this->CheckService(step->service, "service"); !known) {
    return tl::unexpected<Error>(known.error());
  }
  if (const auto known = this->CheckService(step->judge, "judge"); !known) {
    return tl::unexpected<Error>(known.error());
  }
  const auto config = this->view.config();
  if (config->FindService(step->service)->FindOperation(step->operation) == nullptr) {
    return Fail(ErrorCode::kNotFound, "the service has no such operation", "operation");
  }
  const auto trainer = this->samples.ReadTrainer(task, *name, deadline);
  if (!trainer) return tl::unexpected<Error>(trainer.error());
  if (!*trainer) return Fail(ErrorCode::kNotFound, "no such trainer", "trainer");
  // Weight versions of different services cannot be compared.
  if ((*trainer)->service != step->service) {
    return Fail(ErrorCode::kInvalidArgument, "the trainer is registered for a different service",
                "service");
  }
  const auto submitted = this->samples.SubmitStep(task, *step, deadline);
  if (!submitted) return tl::unexpected<Error>(submitted.error());
  std::set<int> shards;
  for (const GroupRecord& group : step->groups) shards.insert(group.id.Shard());
  for (const int shard : shards) this->hooks.notify_shard(shard);
  return nlohmann::json{
      {"step", step->step}, {"groups", step->groups.size()}, {"samples", step->Samples()}};
}

TrainerApi::Answer TrainerApi::PostTake(Task& task, const HttpRequest& request,
                                        const PathParts& parts, TimePoint deadline) {
  const auto name = TrainerName(parts);
  if (!name) return tl::unexpected<Error>(name.error());
  const auto body = ParseJson(request.Body());
  if (!body) return tl::unexpected<Error>(body.error());
  const auto decoded = SampleDelivery::Request::Decode(*name, *body);
  if (!decoded) return tl::unexpected<Error>(decoded.error());
  return this->delivery.Run(task, *decoded, deadline);
}

TrainerApi::Answer TrainerApi::ListSamples(Task& task, const HttpRequest& request,
                                           TimePoint deadline) {
  const std::string trainer = request.QueryValue("trainer");
  if (trainer.empty()) return Fail(ErrorCode::kInvalidArgument, "is missing", "trainer");
  const auto rows =
      this->store.scan(task, "samples", RowKeyPrefix({trainer}), kMaxListed + 1, deadline);
  if (!rows) return tl::unexpected<Error>(rows.error());
  nlohmann::json list = nlohmann::json::array();
  for (const Row& row : *rows) {
    if (list.size() == kMaxListed) break;
    nlohmann::json item = row.value;
    item["sample"] = row.key;
    list.push_back(std::move(item));
  }
  return nlohmann::json{{"samples", list}, {"truncated", rows->size() > kMaxListed}};
}

}  // namespace anvilcroft
