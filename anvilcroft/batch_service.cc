#include "anvilcroft/batch_service.h"

#include <algorithm>
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
  job.head.submitted_at = this->metadata.StoreTime(BootNow());
  if (job.head.submitted_at == 0) {
    return Fail(ErrorCode::kNotReady, "the metadata store has not answered yet");
  }
  const std::string id = job.head.id;
  const auto stored = this->store.Submit(task, job, deadline);
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

Result<std::optional<int64_t>> BatchService::Total(Task& task, const std::string& job) {
  const auto known = this->totals.find(job);
  if (known != this->totals.end()) return std::optional<int64_t>(known->second);
  const auto head = this->store.ReadHead(task, job, SteadyNow() + kStoreTimeout);
  if (!head) return tl::unexpected<Error>(head.error());
  if (!*head) return std::optional<int64_t>();
  if (this->totals.emplace(job, (*head)->total).second) this->totals_order.push_back(job);
  if (this->totals_order.size() > kMaxCachedTotals) {
    this->totals.erase(this->totals_order.front());
    this->totals_order.pop_front();
  }
  return std::optional<int64_t>((*head)->total);
}

Result<std::optional<platform::ResultPage>> BatchService::Results(Task& task,
                                                                  const std::string& job,
                                                                  int64_t from, Duration wait) {
  const TimePoint until = SteadyNow() + wait;
  const auto total = this->Total(task, job);
  if (!total) return tl::unexpected<Error>(total.error());
  if (!*total) return std::optional<platform::ResultPage>();
  platform::ResultPage page;
  page.total = **total;
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

Result<std::optional<std::string>> BatchService::ItemBody(Task& task, const std::string& job,
                                                          const std::string& item) {
  auto cached = std::find_if(this->bodies.begin(), this->bodies.end(),
                             [&job](const auto& entry) { return entry.first == job; });
  if (cached == this->bodies.end()) {
    const auto total = this->Total(task, job);
    if (!total) return tl::unexpected<Error>(total.error());
    if (!*total) return std::optional<std::string>();
    auto items = this->store.ReadItems(task, job, SteadyNow() + kStoreTimeout);
    if (!items) return tl::unexpected<Error>(items.error());
    Bodies job_bodies;
    for (BatchItem& entry : *items) job_bodies[entry.id] = std::move(entry.body);
    this->bodies.emplace_front(job, std::move(job_bodies));
    if (this->bodies.size() > kMaxCachedJobs) this->bodies.pop_back();
    cached = this->bodies.begin();
  }
  const auto found = cached->second.find(item);
  if (found == cached->second.end()) return std::optional<std::string>();
  return std::optional<std::string>(found->second);
}

Result<bool> BatchService::End(Task& task, const std::string& job) {
  const auto ended = this->store.End(task, job, SteadyNow() + kEndTimeout);
  LogInfo(kPart,
          ended ? (*ended ? "ended a batch job" : "the batch job to end does not exist")
                : "could not end a batch job",
          {{"batch", job}, {"error", ended ? "none" : ErrorCodeName(ended.error().code)}});
  return ended;
}

}  // namespace anvilcroft
