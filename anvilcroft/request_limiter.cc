#include "anvilcroft/request_limiter.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "limits";
// Prefix of the keys of limits among the entries of instances.
constexpr char kRowPrefix[] = "!limit/";
constexpr Duration kStoreTimeout = milliseconds(700);
constexpr Duration kWriteRetryPause = milliseconds(300);
constexpr Duration kCleanInterval = seconds(5);
// Smaller changes of a limit are not written to the store. Keepers learn them from the requests.
constexpr double kMinWrittenChange = 0.1;

std::string Describe(const std::optional<double>& per_second) {
  return per_second ? std::to_string(*per_second) : "none";
}

// Whether `limit` differs enough from `written` to be written.
bool DiffersMuch(const std::optional<double>& limit, const std::optional<double>& written) {
  if (limit.has_value() != written.has_value()) return true;
  return limit && std::abs(*limit - *written) > kMinWrittenChange * std::max(*limit, *written);
}

}  // namespace

RequestLimiter::RequestLimiter(const Builder& builder)
    : runtime(builder.runtime),
      metrics(builder.metrics),
      store(*builder.store),
      directory(*builder.directory),
      pool(*builder.pool),
      self(builder.self),
      http(builder.runtime) {}

void RequestLimiter::Start() {
  this->directory.SetSharedRowHook(kRowPrefix,
                                   [this](const std::string& target, const StoredRow& row) {
                                     this->ApplyRow(target, row, SteadyNow());
                                   });
  this->runtime.SpawnService("remove old limits", [this](Task& task) {
    while (true) {
      SleepUntil(task, SteadyNow() + kCleanInterval);
      this->RemoveOldTargets();
    }
  });
}

Result<SendPermit> RequestLimiter::Acquire(Task& task, const TargetEntry& target,
                                           CallPurpose purpose, Duration max_wait) {
  if (const auto known_wait = this->NextPermit(target, SteadyNow())) {
    const bool order = purpose == CallPurpose::kOrder || purpose == CallPurpose::kReport;
    max_wait = std::min(max_wait, order ? kMaxOrderWait : kMaxWait);
    PermitAnswer outcome;
    if (*known_wait > max_wait) {
      outcome = PermitAnswer{false, *known_wait};
    } else {
      PermitRequest request = this->DescribeLimit(target.id, SteadyNow());
      request.max_wait = max_wait;
      outcome = this->Ask(task, std::move(request));
    }
    this->metrics.Increment("anvilcroft_request_permits_total",
                            {{"purpose", CallPurposeName(purpose)},
                             {"outcome", outcome.granted ? "granted" : "denied"}});
    if (!outcome.granted) {
      // A later permit may come sooner from the keeper once it answers again.
      this->next_permits[target.id] = SteadyNow() + std::min(outcome.wait, kUnansweredPause);
      return Fail(ErrorCode::kOverloaded, "the target takes no more requests at present",
                  kErrorPart);
    }
    if (outcome.wait > Duration::zero()) {
      // No permit is kept, so the next one is at least an interval later.
      const TimePoint granted_at = SteadyNow() + outcome.wait;
      const auto per_second = this->limits.LimitOf(target.id, target.started_at);
      this->next_permits[target.id] =
          granted_at + (per_second ? PermitSchedule::IntervalOf(*per_second) : Duration::zero());
      SleepUntil(task, granted_at);
    }
  }
  this->calls[target.id].Add(purpose, SteadyNow());
  this->metrics.Increment("anvilcroft_target_calls_total",
                          {{"service", target.service}, {"purpose", CallPurposeName(purpose)}});
  return SendPermit();
}

std::optional<Duration> RequestLimiter::NextPermit(const TargetEntry& target, TimePoint now) const {
  if (!this->limits.LimitOf(target.id, target.started_at)) return std::nullopt;
  const auto found = this->next_permits.find(target.id);
  if (found == this->next_permits.end()) return Duration::zero();
  return std::max(Duration::zero(), found->second - now);
}

void RequestLimiter::OnAnswer(const TargetEntry& target, std::optional<double> per_second,
                              TimePoint now) {
  const LimitStatement statement{target.started_at, per_second, now};
  if (!per_second && this->limits.Find(target.id) == nullptr) return;
  if (this->Apply(target.id, statement, "answer")) this->TellKeeper(target.id);
}

bool RequestLimiter::Apply(const std::string& target, const LimitStatement& statement,
                           const char* source) {
  const LimitStatement* before = this->limits.Find(target);
  const std::string old_limit = before == nullptr ? "none" : Describe(before->per_second);
  if (!this->limits.Apply(target, statement)) return false;
  if (!statement.per_second) this->next_permits.erase(target);
  const CallCounts::ByPurpose recent = this->calls[target].Recent(SteadyNow());
  LogFields fields = {
      {"target", target},
      {"before", old_limit},
      {"per_second", Describe(statement.per_second)},
      {"source", source},
      {"recent_calls", std::to_string(std::accumulate(recent.begin(), recent.end(), 0))}};
  for (std::size_t i = 0; i < kCallPurposes; ++i) {
    if (recent[i] == 0) continue;
    fields.emplace_back(std::string(CallPurposeName(static_cast<CallPurpose>(i))) + "_calls",
                        std::to_string(recent[i]));
  }
  LogInfo(kPart, "the request limit of a target changed", fields);
  return true;
}

void RequestLimiter::ApplyRow(const std::string& target, const StoredRow& row, TimePoint now) {
  if (row.removed) {
    this->rows.erase(target);
    const LimitStatement* known = this->limits.Find(target);
    if (known != nullptr) this->Apply(target, {known->started_at, std::nullopt, now}, "store");
    return;
  }
  const auto limit = DecodeLimitRow(row.value);
  if (!limit) {
    LogWarning(kPart, "ignored a malformed limit of a target",
               {{"target", target}, {"error", limit.error().message}});
    return;
  }
  this->rows[target] = limit->per_second;
  // The statement must not seem newer than later ones of the target itself.
  const int64_t age_ms =
      std::max<int64_t>(0, this->store.StoreTime(BootNow()).latest - limit->said_at);
  this->Apply(target, {limit->started_at, limit->per_second, now - milliseconds(age_ms)}, "store");
}

Result<PermitAnswer> RequestLimiter::HandleRequest(const std::string& body, TimePoint now) {
  const auto request = DecodePermitRequest(body);
  if (!request) return tl::unexpected<Error>(request.error());
  this->Apply(request->target, {request->started_at, request->per_second, now - request->age},
              "instance");
  this->WriteRow(request->target);
  if (!request->wanted) return PermitAnswer{true, Duration::zero()};
  return this->Grant(request->target, request->standby ? PermitRole::kStandby : PermitRole::kKeeper,
                     request->max_wait, now);
}

PermitAnswer RequestLimiter::Grant(const std::string& target, PermitRole role, Duration max_wait,
                                   TimePoint now) {
  const LimitStatement* statement = this->limits.Find(target);
  // The target has told this instance that its limit has ended.
  if (statement == nullptr || !statement->per_second) return {true, Duration::zero()};
  const double rate = PermitRate(*statement->per_second, role, this->directory.LiveFronts().size());
  const auto [found, added] = this->schedules.try_emplace(
      {target, role}, Schedule{statement->started_at, PermitSchedule(rate, now)});
  if (!added && found->second.started_at != statement->started_at) {
    found->second = Schedule{statement->started_at, PermitSchedule(rate, now)};
  }
  found->second.permits.SetRate(rate);
  return found->second.permits.Request(max_wait, now);
}

PermitRequest RequestLimiter::DescribeLimit(const std::string& target, TimePoint now) const {
  PermitRequest request;
  request.target = target;
  if (const LimitStatement* statement = this->limits.Find(target)) {
    request.started_at = statement->started_at;
    request.per_second = statement->per_second;
    request.age = std::max(Duration::zero(), now - statement->said_at);
  }
  return request;
}

const std::vector<std::string>& RequestLimiter::KeepersOf(const std::string& target) {
  if (this->keepers_version != this->directory.LiveVersion()) {
    this->keepers.clear();
    this->keepers_version = this->directory.LiveVersion();
  }
  const auto [found, added] = this->keepers.try_emplace(target);
  if (added) found->second = PermitKeepers(this->directory.LiveFronts(), target);
  // The list is empty until the directory has been read.
  if (found->second.empty()) found->second.push_back(this->self);
  return found->second;
}

PermitAnswer RequestLimiter::Ask(Task& task, PermitRequest request) {
  const std::vector<std::string> order = this->KeepersOf(request.target);
  for (std::size_t i = 0; i < order.size(); ++i) {
    request.standby = i > 0;
    if (order[i] == this->self) {
      this->WriteRow(request.target);
      if (!request.wanted) return PermitAnswer{true, Duration::zero()};
      return this->Grant(request.target,
                         request.standby ? PermitRole::kStandby : PermitRole::kKeeper,
                         request.max_wait, SteadyNow());
    }
    if (SteadyNow() < this->unanswered_until[order[i]]) continue;
    if (const auto answer = this->AskPeer(task, order[i], request)) return *answer;
    this->unanswered_until[order[i]] = SteadyNow() + kUnansweredPause;
    LogInfo(kPart, "an instance that keeps the permits of a target did not answer",
            {{"target", request.target},
             {"instance", order[i]},
             {"standby", request.standby ? "true" : "false"}});
  }
  if (!request.wanted) return PermitAnswer{true, Duration::zero()};
  this->metrics.Increment("anvilcroft_request_permits_alone_total", {});
  return this->Grant(request.target, PermitRole::kAlone, request.max_wait, SteadyNow());
}

std::optional<PermitAnswer> RequestLimiter::AskPeer(Task& task, const std::string& instance,
                                                    const PermitRequest& request) {
  const auto endpoint = ParseEndpoint(this->directory.InternalAddress(instance));
  if (!endpoint) return std::nullopt;
  const auto answer = this->http.Call(
      task, *endpoint,
      HttpRequest::Builder()
          .SetMethod("POST")
          .SetTarget(kPath)
          .SetBody(EncodePermitRequest(request))
          .Build(),
      CallOptions(SteadyNow() + kCallTimeout, kCallTimeout).WithConnectTimeout(kCallTimeout));
  if (!answer || answer->Status() != 200) return std::nullopt;
  const auto decoded = DecodePermitAnswer(answer->Body());
  return decoded ? std::optional<PermitAnswer>(*decoded) : std::nullopt;
}

void RequestLimiter::TellKeeper(const std::string& target) {
  this->runtime.Spawn([this, target](Task& task) {
    PermitRequest request = this->DescribeLimit(target, SteadyNow());
    request.wanted = false;
    this->Ask(task, std::move(request));
  });
}

bool RequestLimiter::RowIsCurrent(const std::string& target) const {
  const LimitStatement* statement = this->limits.Find(target);
  if (statement == nullptr) return true;
  const auto row = this->rows.find(target);
  return !DiffersMuch(statement->per_second, row == this->rows.end() ? std::nullopt : row->second);
}

void RequestLimiter::WriteRow(const std::string& target) {
  if (this->RowIsCurrent(target) || !this->writing.insert(target).second) return;
  this->runtime.Spawn([this, target](Task& task) {
    while (!this->RowIsCurrent(target)) this->WriteRow(task, target);
    this->writing.erase(target);
  });
}

void RequestLimiter::WriteRow(Task& task, const std::string& target) {
  const LimitStatement statement = *this->limits.Find(target);
  const RowId id = FrontDirectory::SharedRowId(kRowPrefix, target);
  RowBatch::Builder batch;
  if (statement.per_second) {
    const int64_t age_ms = ToMillis(SteadyNow() - statement.said_at);
    batch.Put(id, EncodeLimitRow({statement.started_at, *statement.per_second,
                                  this->store.StoreTime(BootNow()).earliest - age_ms}));
  } else {
    batch.Remove(id);
  }
  const auto committed = this->store.Commit(task, batch.Build(), SteadyNow() + kStoreTimeout);
  if (committed) {
    this->rows[target] = statement.per_second;
    return;
  }
  LogInfo(kPart, "could not write the request limit of a target; trying again",
          {{"target", target}, {"error", ErrorCodeName(committed.error().code)}});
  SleepUntil(task, SteadyNow() + kWriteRetryPause);
}

void RequestLimiter::RemoveOldTargets() {
  const auto listed = [this](const std::string& id) { return this->pool.Find(id) != nullptr; };
  for (const auto& [target, limit] : std::map(this->rows)) {
    if (listed(target) || this->KeepersOf(target).front() != this->self) continue;
    this->rows.erase(target);
    this->runtime.Spawn([this, target = target](Task& task) {
      this->store.Commit(
          task, RowBatch::Builder().Remove(FrontDirectory::SharedRowId(kRowPrefix, target)).Build(),
          SteadyNow() + kStoreTimeout);
    });
  }
  this->limits.Retain(listed);
  const auto retain = [&listed](auto& by_target) {
    for (auto it = by_target.begin(); it != by_target.end();) {
      it = listed(it->first) ? std::next(it) : by_target.erase(it);
    }
  };
  retain(this->calls);
  retain(this->next_permits);
  for (auto it = this->schedules.begin(); it != this->schedules.end();) {
    it = listed(it->first.first) ? std::next(it) : this->schedules.erase(it);
  }
}

RequestLimiter::Builder& RequestLimiter::Builder::SetStore(MetadataStore& value) {
  this->store = &value;
  return *this;
}

RequestLimiter::Builder& RequestLimiter::Builder::SetDirectory(FrontDirectory& value) {
  this->directory = &value;
  return *this;
}

RequestLimiter::Builder& RequestLimiter::Builder::SetPool(const TargetPool& value) {
  this->pool = &value;
  return *this;
}

RequestLimiter::Builder& RequestLimiter::Builder::SetSelf(std::string value) {
  this->self = std::move(value);
  return *this;
}

std::unique_ptr<RequestLimiter> RequestLimiter::Builder::Build() const {
  ANVILCROFT_CHECK(this->store != nullptr && this->directory != nullptr && this->pool != nullptr);
  ANVILCROFT_CHECK(!this->self.empty());
  return std::unique_ptr<RequestLimiter>(new RequestLimiter(*this));
}

}  // namespace anvilcroft
