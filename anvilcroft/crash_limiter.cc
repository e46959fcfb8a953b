#include "anvilcroft/crash_limiter.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include "anvilcroft/hash.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log.h"
#include "anvilcroft/target_relay.h"
#include "anvilcroft/tcp_probe.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "crashes";
// Prefix of the keys of crashes and trials among the entries of instances. The name behind it is
// the fingerprint of the request, a slash, and the start of the target or kTrialMark and a number.
constexpr char kRowPrefix[] = "!crash/";
constexpr char kTrialMark = '#';
constexpr std::size_t kMaxBatch = 50;     // rows in one transaction
constexpr std::size_t kMaxQueued = 4096;  // rows, while the store does not answer
constexpr Duration kStoreTimeout = milliseconds(700);
constexpr Duration kWriteRetryPause = milliseconds(300);
constexpr Duration kCleanInterval = seconds(30);
constexpr int64_t kMaxTime = INT64_MAX / 2;

std::string CrashName(const std::string& fingerprint, const std::string& start) {
  return fingerprint + "/" + start;
}

std::string TrialName(const std::string& fingerprint, std::size_t number) {
  return fingerprint + "/" + kTrialMark + std::to_string(number);
}

// The number of the trial that `mark`, the part of a row's name behind the slash, stands for; 0 if
// it stands for the start of a target.
std::size_t TrialNumber(const std::string& mark) {
  if (mark.empty() || mark.front() != kTrialMark) return 0;
  std::size_t number = 0;
  std::from_chars(mark.data() + 1, mark.data() + mark.size(), number);
  return number;
}

// A start of a target. Its id alone may stand for several starts.
std::string StartOf(const TargetEntry& target) {
  return target.id + "@" + std::to_string(target.started_at);
}

std::string EncodeTime(StoreMillis at) { return DumpJson({{"at", at}}); }

Result<StoreMillis> DecodeTime(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "crash");
  const StoreMillis at = fields.Integer("at", 0, kMaxTime);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return at;
}

}  // namespace

void CrashLimiter::Start() {
  this->directory.SetSharedRowHook(
      kRowPrefix,
      [this](const std::string& name, const StoredRow& row) { this->ApplyRow(name, row); });
  this->runtime.SpawnService("write crashes", [this](Task& task) { this->Flush(task); });
  this->runtime.SpawnService("remove old crashes", [this](Task& task) {
    while (true) {
      SleepUntil(task, SteadyNow() + kCleanInterval);
      this->RemoveExpired();
    }
  });
}

bool CrashLimiter::Suspects(const std::string& fingerprint) const {
  return this->history.Decide(fingerprint, SteadyNow()).verdict != CrashDecision::Verdict::kAllowed;
}

CrashAdmission CrashLimiter::Admit(Task& task, const std::string& fingerprint) {
  const CrashDecision decision = this->history.Decide(fingerprint, SteadyNow());
  CrashAdmission admission;
  switch (decision.verdict) {
    case CrashDecision::Verdict::kAllowed:
      return admission;
    case CrashDecision::Verdict::kRefused:
      admission.allowed = false;
      admission.retry_after = decision.retry_after;
      break;
    case CrashDecision::Verdict::kTrial: {
      const std::string name = TrialName(fingerprint, decision.trial);
      const RowId id = FrontDirectory::SharedRowId(kRowPrefix, name);
      const auto claimed = this->store.Commit(
          task, RowBatch::Builder().Expect(id, 0).Put(id, EncodeTime(this->StoredNow())).Build(),
          SteadyNow() + kStoreTimeout);
      admission.allowed = claimed && claimed->committed;
      if (admission.allowed) admission.trial = decision.trial;
      admission.retry_after = CrashHistory::kTrialPause;
      // A call without an answer may have written the row.
      if (claimed || claimed.error().code == ErrorCode::kOutcomeUnknown) {
        this->history.AddTrial(fingerprint, decision.trial, SteadyNow());
      }
      break;
    }
  }
  const char* outcome = admission.allowed ? "trial" : "refused";
  this->metrics.Increment("anvilcroft_crash_limited_total", {{"outcome", outcome}});
  LogInfo(kPart, kCrashReason,
          {{"fingerprint", fingerprint},
           {"crashes", std::to_string(this->history.Crashes(fingerprint))},
           {"trials", std::to_string(this->history.Trials(fingerprint).size())},
           {"outcome", outcome}});
  return admission;
}

void CrashLimiter::OnConnectionLost(Task& task, const std::string& fingerprint,
                                    const std::string& request, const TargetEntry& target,
                                    const Error& error) {
  const TimePoint lost_at = SteadyNow();
  bool ended = error.part == kTargetEnded;  // found by the instance that relayed the request
  if (error.part.empty() && !this->cut_off()) {
    ended = RefusesConnections(task, target.address, lost_at + kProbeTimeout);
  }
  this->metrics.Increment(
      "anvilcroft_target_connections_lost_total",
      {{"service", target.service}, {"target", ended ? "ended" : "not_known_to_have_ended"}});
  if (!ended) return;
  const std::string start = StartOf(target);
  if (!this->history.AddCrash(fingerprint, start, lost_at)) return;
  const std::size_t crashes = this->history.Crashes(fingerprint);
  LogInfo(kPart, "a target ended while it had this request",
          {{"request", request},
           {"fingerprint", fingerprint},
           {"target", start},
           {"crashes", std::to_string(crashes)}});
  if (crashes > 1) this->urgent = true;
  this->QueueWrite(CrashName(fingerprint, start), EncodeTime(this->StoredNow()));
}

StoreMillis CrashLimiter::StoredNow() const { return this->store.StoreTime(BootNow()).latest; }

void CrashLimiter::OnCompleted(const std::string& fingerprint) {
  for (const std::string& start : this->history.Starts(fingerprint)) {
    this->QueueWrite(CrashName(fingerprint, start), std::nullopt);
  }
  for (const std::size_t number : this->history.Trials(fingerprint)) {
    this->QueueWrite(TrialName(fingerprint, number), std::nullopt);
  }
  this->history.Forget(fingerprint);
}

void CrashLimiter::OnTrialNotRun(const std::string& fingerprint, std::size_t number) {
  this->history.RemoveTrial(fingerprint, number);
  this->QueueWrite(TrialName(fingerprint, number), std::nullopt);
}

void CrashLimiter::ApplyRow(const std::string& name, const StoredRow& row) {
  const std::size_t slash = name.find('/');
  if (slash == std::string::npos) return;
  const std::string fingerprint = name.substr(0, slash);
  const std::string mark = name.substr(slash + 1);
  const std::size_t trial = TrialNumber(mark);
  if (row.removed) {
    this->rows.erase(name);
    if (trial > 0) {
      this->history.RemoveTrial(fingerprint, trial);
    } else {
      this->history.RemoveCrash(fingerprint, mark);
    }
    return;
  }
  const auto written_at = DecodeTime(row.value);
  if (!written_at) {
    LogWarning(kPart, "ignored a malformed row of a crash",
               {{"row", name}, {"error", written_at.error().message}});
    return;
  }
  this->rows[name] = *written_at;
  const int64_t age_ms =
      std::max<int64_t>(0, this->store.StoreTime(BootNow()).earliest - *written_at);
  const TimePoint at = SteadyNow() - milliseconds(age_ms);
  if (trial > 0) {
    this->history.AddTrial(fingerprint, trial, at);
  } else {
    this->history.AddCrash(fingerprint, mark, at);
  }
}

void CrashLimiter::QueueWrite(const std::string& name, std::optional<std::string> value) {
  const auto found = this->queued.find(name);
  if (!value && found != this->queued.end() && this->rows.count(name) == 0) {
    this->queued.erase(found);  // it has not been written yet
    return;
  }
  if (value && this->queued.size() >= kMaxQueued) {
    LogWarning(kPart, "too many crashes wait to be written; other instances do not learn of one",
               {{"row", name}});
    return;
  }
  this->queued[name] = std::move(value);
  this->changed.NotifyAll();
}

void CrashLimiter::Flush(Task& task) {
  while (true) {
    while (this->queued.empty()) this->changed.Wait(task);
    const TimePoint delayed_until = SteadyNow() + kWriteDelay;
    while (!this->urgent && this->changed.WaitUntil(task, delayed_until)) {
    }
    this->urgent = false;
    if (!this->queued.empty() && !this->WriteQueued(task)) {
      SleepUntil(task, SteadyNow() + kWriteRetryPause);
    }
  }
}

bool CrashLimiter::WriteQueued(Task& task) {
  RowBatch::Builder batch;
  std::map<std::string, std::optional<std::string>> writes;
  for (auto it = this->queued.begin(); it != this->queued.end() && writes.size() < kMaxBatch;) {
    writes.insert(this->queued.extract(it++));
  }
  for (const auto& [name, value] : writes) {
    const RowId id = FrontDirectory::SharedRowId(kRowPrefix, name);
    if (value) {
      batch.Put(id, *value);
      // From now on a removal has to be written.
      this->rows.emplace(name, this->StoredNow());
    } else {
      batch.Remove(id);
    }
  }
  const auto committed = this->store.Commit(task, batch.Build(), SteadyNow() + kStoreTimeout);
  if (committed) return true;
  LogInfo(
      kPart, "could not write crashes of targets; trying again",
      {{"rows", std::to_string(writes.size())}, {"error", ErrorCodeName(committed.error().code)}});
  // Rows that have been queued since are newer.
  this->queued.merge(writes);
  return false;
}

void CrashLimiter::RemoveExpired() {
  this->history.Expire(SteadyNow());
  if (this->directory.TakeoverRank() != 0) return;
  const StoreMillis oldest =
      this->store.StoreTime(BootNow()).earliest - ToMillis(Duration(CrashHistory::kLifetime));
  std::vector<std::string> expired;
  for (const auto& [name, written_at] : this->rows) {
    if (written_at < oldest) expired.push_back(name);
  }
  for (const std::string& name : expired) this->QueueWrite(name, std::nullopt);
}

CrashAdmission RequestCrashes::Admit(Task& task) {
  CrashAdmission admission;
  if (!this->request.crash_limited || this->limiter.Empty()) return admission;
  if (this->trial > 0) {
    admission.allowed = false;
    admission.retry_after = CrashHistory::kTrialPause;
    return admission;
  }
  admission = this->limiter.Admit(task, this->Fingerprint());
  this->trial = admission.trial;
  return admission;
}

bool RequestCrashes::MayHedge() {
  if (!this->request.crash_limited || this->limiter.Empty()) return true;
  return this->trial == 0 && !this->limiter.Suspects(this->Fingerprint());
}

void RequestCrashes::OnConnectionLost(Task& task, const TargetEntry& target, const Error& error) {
  if (!this->request.crash_limited) return;
  this->limiter.OnConnectionLost(task, this->Fingerprint(), this->request.message.id, target,
                                 error);
}

void RequestCrashes::OnCompleted() {
  if (!this->request.crash_limited || this->limiter.Empty()) return;
  this->limiter.OnCompleted(this->Fingerprint());
}

void RequestCrashes::OnNotRun() {
  if (this->trial > 0) this->limiter.OnTrialNotRun(this->Fingerprint(), this->trial);
}

const std::string& RequestCrashes::Fingerprint() {
  if (this->fingerprint.empty()) {
    const auto& message = this->request.message;
    this->fingerprint = HexDigestOf(
        {this->request.caller, this->request.host, message.target, message.body.Text()});
  }
  return this->fingerprint;
}

}  // namespace anvilcroft
