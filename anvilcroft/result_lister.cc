#include "anvilcroft/result_lister.h"

#include <algorithm>
#include <set>
#include <utility>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "listing";
constexpr Duration kCallTimeout = milliseconds(650);
constexpr Duration kRetryPause = milliseconds(50);
constexpr Duration kIdleCheck = milliseconds(300);
constexpr std::size_t kMaxResults = 80;  // in one transaction

}  // namespace

void ResultLister::Start(const std::shared_ptr<OwnedJob>& job) {
  this->context.runtime.Spawn([this, job](Task& task) { this->Run(task, job); });
}

Result<ResultListing> ResultLister::Claim(Task& task, const std::string& job, int64_t generation,
                                          ResultListing listing) {
  const SliceScope& scope = this->context.scope;
  if (!scope.Sliced() && listing.claims.Empty()) return listing;
  const int64_t fencing = this->context.lease.Held().fencing;
  if (fencing == 0 || generation != scope.Generation() || listing.claims.generation > generation) {
    return Fail(ErrorCode::kConflict, "the slice is not owned by this instance", job);
  }
  if (listing.claims.generation != generation ||
      listing.claims.Of(scope.slice).fencing != fencing) {
    const auto claimed = this->context.store.Claim(
        task, job, listing, listing.claims.With(generation, scope.slice, fencing),
        SteadyNow() + kCallTimeout);
    if (!claimed) return claimed;
    listing = *claimed;
  }
  listing.own_slice = scope.slice;
  return listing;
}

void ResultLister::Run(Task& task, const std::shared_ptr<OwnedJob>& job) {
  const auto owned = [&] { return !job->removed && this->context.lease.Held().fencing != 0; };
  while (owned()) {
    if (job->unlisted_results.empty()) {
      job->unlisted_results_changed.WaitUntil(task, SteadyNow() + kIdleCheck);
      continue;
    }
    // Owners of other slices have added results since the last append. Reading the row first saves
    // an append of up to 1 MB that would fail.
    if (this->context.scope.Sliced() && job->listing.own_slice >= 0) {
      if (!this->Reload(task, *job)) SleepUntil(task, SteadyNow() + kRetryPause);
      if (!owned() || job->unlisted_results.empty()) continue;
    }
    const std::size_t max_results = std::min(job->unlisted_results.size(), kMaxResults);
    const std::vector<ItemResult> results(
        job->unlisted_results.begin(),
        job->unlisted_results.begin() + static_cast<long>(max_results));
    const auto listed = this->context.store.AppendResults(task, job->head.id, job->listing, results,
                                                          SteadyNow() + kCallTimeout);
    if (listed) {
      const int64_t count = listed->count - job->listing.count;
      LogInfo(kPart, "listed results",
              {{"batch", job->head.id},
               {"from", std::to_string(job->listing.count)},
               {"count", std::to_string(count)},
               {"total", std::to_string(job->head.total)},
               {"age_ms", std::to_string(ToMillis(SteadyNow() - job->owned_since))}});
      job->listing = *listed;
      job->unlisted_results.erase(job->unlisted_results.begin(),
                                  job->unlisted_results.begin() + count);
      if (this->context.scope.Sliced()) {
        SleepUntil(task, SteadyNow() + AppendInterval(this->context.scope.Count(),
                                                      this->context.jobs.Loaded().size()));
      }
      continue;
    }
    if (listed.error().code == ErrorCode::kConflict) {
      if (this->Reload(task, *job)) continue;
    } else {
      LogWarning(kPart, "could not list results; retrying",
                 {{"batch", job->head.id},
                  {"error", ErrorCodeName(listed.error().code)},
                  {"waiting", std::to_string(job->unlisted_results.size())}});
    }
    SleepUntil(task, SteadyNow() + kRetryPause);
  }
}

bool ResultLister::Reload(Task& task, OwnedJob& job) {
  const TimePoint deadline = SteadyNow() + kCallTimeout;
  auto listing = this->context.store.ReadListing(task, job.head.id, deadline);
  if (!listing) return false;
  const int slice = job.listing.own_slice;
  if (slice >= 0 && listing->claims.generation == job.listing.claims.generation &&
      listing->claims.Of(slice) == job.listing.claims.Of(slice)) {
    // Only owners of other slices have listed results meanwhile.
    listing->own_slice = slice;
    job.listing = *listing;
    return true;
  }
  listing = this->Claim(task, job.head.id, job.generation, *listing);
  if (!listing || job.removed) return false;
  std::set<std::string> listed;
  for (int64_t position = job.listing.count; position < listing->count;) {
    const auto results = this->context.store.ReadResults(task, job.head.id, position,
                                                         listing->count - position, deadline);
    if (!results || results->empty()) return false;
    for (const ItemResult& result : *results) listed.insert(result.item_id);
    position += static_cast<int64_t>(results->size());
  }
  LogInfo(kPart, "read the listing again after a conflict",
          {{"batch", job.head.id},
           {"before", std::to_string(job.listing.count)},
           {"now", std::to_string(listing->count)}});
  job.listing = *listing;
  job.unlisted_results.erase(
      std::remove_if(
          job.unlisted_results.begin(), job.unlisted_results.end(),
          [&listed](const ItemResult& result) { return listed.count(result.item_id) != 0; }),
      job.unlisted_results.end());
  for (OwnedItem& item : job.items) {
    if (listed.count(item.item.id) == 0) continue;
    item.phase = ItemPhase::kFinished;
    if (item.run) item.run->Cancel();
  }
  return true;
}

}  // namespace anvilcroft
