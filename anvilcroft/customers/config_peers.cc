#include "anvilcroft/customers/config_peers.h"

#include <algorithm>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "config";
constexpr char kAfterParameter[] = "after";
constexpr char kQueriesCounter[] = "anvilcroft_config_peer_queries_total";
// Interval of the checks whether other instances have to be asked.
constexpr Duration kCheckInterval = milliseconds(100);
constexpr int64_t kMaxAgeMs = 365LL * 24 * 3600 * 1000;

}  // namespace

void ConfigPeers::Start() {
  this->metrics.RegisterGauge("anvilcroft_customers", {}, [this] {
    const auto routes = this->view.Routes();
    return routes ? static_cast<double>(routes->Customers().Size()) : 0.0;
  });
  this->runtime.SpawnService("ask peers for the configuration",
                             [this](Task& task) { this->Run(task); });
}

void ConfigPeers::Run(Task& task) {
  const TimePoint started = SteadyNow();
  bool asking = false;
  while (true) {
    SleepUntil(task, SteadyNow() + kCheckInterval);
    const auto routes = this->view.Routes();
    if (routes && !routes->Customers().Enabled()) continue;
    // An instance without a configuration asks also while the store answers: the row may be
    // unreadable, and others have the last good one.
    const TimePoint answered_at = routes ? this->view.RoutesAnsweredAt() : started;
    const bool due = SteadyNow() >= this->schedule.NextRound(answered_at);
    if (asking && routes && SteadyNow() - answered_at < PeerQuerySchedule::kUnconfirmedLimit) {
      asking = false;
      LogInfo(kPart, "the store confirms the configuration again",
              {{"version", std::to_string(routes->Version())}});
    }
    if (!due) continue;
    const std::string confirmed_by = this->AskPeers(task);
    this->schedule.OnRound(confirmed_by, SteadyNow());
    if (asking) continue;
    asking = true;
    const auto known = this->view.Routes();
    LogInfo(kPart, "the store does not confirm the configuration; asking other instances",
            {{"version", known ? std::to_string(known->Version()) : "none"},
             {"confirmed_by", confirmed_by.empty() ? "none" : confirmed_by}});
  }
}

std::string ConfigPeers::AskPeers(Task& task) {
  const auto peers = this->schedule.ChoosePeers(this->addresses(), this->random);
  for (const std::string& address : peers) {
    const auto age = this->AskPeer(task, address);
    if (age && *age <= PeerQuerySchedule::kFreshAge) return address;
  }
  return "";
}

std::optional<Duration> ConfigPeers::AskPeer(Task& task, const std::string& address) {
  const auto count = [this](const char* outcome) {
    this->metrics.Increment(kQueriesCounter, {{"outcome", outcome}});
  };
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return std::nullopt;  // the instance published no usable internal address
  const auto routes = this->view.Routes();
  const int64_t version = routes ? routes->Version() : -1;
  const std::string target = std::string(kPath) + "?" + kAfterParameter + "=";
  const auto answer = this->http.Call(
      task, *endpoint, HttpRequest::Builder().SetTarget(target + std::to_string(version)).Build(),
      CallOptions(SteadyNow() + kCallTimeout, kCallTimeout)
          .WithConnectTimeout(kConnectTimeout)
          .WithMaxResponseBytes(kMaxRowBytes));
  int64_t age_ms = 0;
  if (!answer || answer->Status() != 200 ||
      !boost::conversion::try_lexical_convert(answer->Headers().Find(kAgeField), age_ms) ||
      age_ms < 0 || age_ms > kMaxAgeMs) {
    count("no_answer");
    return std::nullopt;
  }
  const bool newer = !answer->Body().empty() && this->view.ApplyConfiguration(answer->Body());
  count(newer ? "newer" : "none_newer");
  if (newer) {
    LogInfo(kPart, "got a newer configuration from another instance",
            {{"address", address},
             {"version", std::to_string(this->view.Routes()->Version())},
             {"age_ms", std::to_string(age_ms)}});
  }
  return milliseconds(age_ms);
}

HttpResponse ConfigPeers::Answer(const HttpRequest& request) const {
  int64_t after = 0;
  if (!boost::conversion::try_lexical_convert(request.QueryValue(kAfterParameter), after)) {
    return ErrorResponse(
        {ErrorCode::kInvalidArgument, "must be a version", kAfterParameter, Ran::kNo});
  }
  const auto routes = this->view.Routes();
  if (!routes) {
    return ErrorResponse(
        {ErrorCode::kNotReady, "no configuration has been read yet", "", Ran::kNo});
  }
  // An instance that has its configuration from another one may never have had it confirmed.
  const bool confirmed = this->view.RoutesConfirmedAt() != TimePoint();
  const int64_t age_ms =
      confirmed ? ToMillis(SteadyNow() - this->view.RoutesConfirmedAt()) : kMaxAgeMs;
  return HttpResponse::Builder()
      .SetHeader("Content-Type", "application/json")
      .SetHeader(kAgeField, std::to_string(std::clamp<int64_t>(age_ms, 0, kMaxAgeMs)))
      .SetBody(routes->Version() > after ? this->view.RoutesRow() : "")
      .Build();
}

}  // namespace anvilcroft
