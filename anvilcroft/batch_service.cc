#include "anvilcroft/batch_service.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "submit";
constexpr int64_t kMaxResults = 500;  // in one response
// Time for retries of a request to end a job.
constexpr Duration kEndTimeout = milliseconds(1800);

}  // namespace

Result<void> BatchService::Submit(Task& task, BatchJob job, TimePoint deadline) {
  const TimePoint now = SteadyNow();
  // Items live for some time after the submission, so it must not seem earlier than it was.
  const StoreTimeRange store_time = this->metadata.StoreTime(BootNow());
  job.head.submitted_at = store_time.latest;
  if (!store_time.Known()) {
    return Fail(ErrorCode::kNotReady, "the metadata store has not answered yet");
  }
  const std::string id = job.head.id;
  auto stored = this->store.Submit(task, job, deadline);
  const auto routes = this->routes();
  if (stored && !*stored && routes && routes->Customers().Enabled()) {
    const auto head = this->store.ReadHead(task, id, SteadyNow() + kStoreTimeout);
    if (!head) {
      stored = tl::unexpected<Error>(head.error().WithRan(Ran::kUnknown));
    } else if (*head && !(*head)->customer.empty() && (*head)->customer != job.head.customer) {
      stored = Fail(ErrorCode::kConflict, "the id of the batch job is in use", id);
    }
  }
  LogInfo(kPart,
          stored ? (*stored ? "stored a batch job" : "the batch job is already stored")
                 : "could not store a batch job",
          {{"batch", id},
           {"items", std::to_string(job.items.size())},
           {"step", std::to_string(job.head.step)},
           {"error", stored ? "none" : ErrorCodeName(stored.error().code)},
           {"ran", stored ? "" : RanName(stored.error().ran)},
           {"ms", std::to_string(ToMillis(SteadyNow() - now))}});
  if (!stored) return tl::unexpected<Error>(stored.error());
  return {};
}

bool BatchService::MayUse(const CallerIdentity& caller, const BatchHead& head) const {
  const auto routes = this->routes();
  const ServiceRoute* route =
      routes ? routes->Match(head.host, head.path.substr(0, head.path.find('?'))) : nullptr;
  return MayUseJob(caller, head.customer, route != nullptr && route->open);
}

Result<std::optional<BatchHead>> BatchService::FindHead(Task& task, const CallerIdentity& caller,
                                                        const std::string& job) {
  auto known = this->heads.find(job);
  if (known == this->heads.end()) {
    auto head = this->store.ReadHead(task, job, SteadyNow() + kStoreTimeout);
    if (!head) return tl::unexpected<Error>(head.error());
    if (!*head) return std::optional<BatchHead>();
    bool added = false;
    std::tie(known, added) = this->heads.emplace(job, std::move(**head));
    if (added) this->heads_order.push_back(job);
    if (this->heads_order.size() > kMaxCachedHeads) {
      this->heads.erase(this->heads_order.front());
      this->heads_order.pop_front();
    }
  }
  if (!this->MayUse(caller, known->second)) return std::optional<BatchHead>();
  return std::optional<BatchHead>(known->second);
}

Result<std::optional<platform::ResultPage>> BatchService::Results(Task& task,
                                                                  const CallerIdentity& caller,
                                                                  const std::string& job,
                                                                  int64_t from, Duration wait) {
  const TimePoint until = SteadyNow() + wait;
  const auto head = this->FindHead(task, caller, job);
  if (!head) return tl::unexpected<Error>(head.error());
  if (!*head) return std::optional<platform::ResultPage>();
  platform::ResultPage page;
  page.total = (*head)->total;
  while (from < page.total) {
    auto results =
        this->store.ReadResults(task, job, from, kMaxResults, SteadyNow() + kStoreTimeout);
    if (!results) return tl::unexpected<Error>(results.error());
    page.results = std::move(*results);
    if (!page.results.empty() || SteadyNow() + kPollInterval > until) break;
    SleepUntil(task, SteadyNow() + kPollInterval);
  }
  return std::optional<platform::ResultPage>(std::move(page));
}

Result<std::optional<std::string>> BatchService::ItemBody(Task& task, const CallerIdentity& caller,
                                                          const std::string& job,
                                                          const std::string& item) {
  const auto head = this->FindHead(task, caller, job);
  if (!head) return tl::unexpected<Error>(head.error());
  if (!*head) return std::optional<std::string>();
  auto cached = std::find_if(this->bodies.begin(), this->bodies.end(),
                             [&job](const auto& entry) { return entry.first == job; });
  if (cached == this->bodies.end()) {
    BatchStore::ItemsRead read;
    const auto complete = this->store.ReadItems(task, job, read, SteadyNow() + kItemsTimeout);
    if (!complete) return tl::unexpected<Error>(complete.error());
    Bodies job_bodies;
    for (BatchItem& entry : read.items) job_bodies[entry.id] = std::move(entry.body);
    this->bodies.emplace_front(job, std::move(job_bodies));
    if (this->bodies.size() > kMaxCachedJobs) this->bodies.pop_back();
    cached = this->bodies.begin();
  }
  const auto found = cached->second.find(item);
  if (found == cached->second.end()) return std::optional<std::string>();
  return std::optional<std::string>(found->second);
}

Result<bool> BatchService::End(Task& task, const CallerIdentity& caller, const std::string& job) {
  const auto ended =
      this->store.End(task, job, SteadyNow() + kEndTimeout,
                      [&](const BatchHead& head) { return this->MayUse(caller, head); });
  LogInfo(kPart,
          ended ? (*ended ? "ended a batch job" : "the caller has no such batch job to end")
                : "could not end a batch job",
          {{"batch", job}, {"error", ended ? "none" : ErrorCodeName(ended.error().code)}});
  return ended;
}

}  // namespace anvilcroft
