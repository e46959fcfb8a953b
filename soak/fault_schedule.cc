#include "soak/fault_schedule.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <random>

#include "anvilcroft/log.h"

namespace anvilcroft::soak {
namespace {

using fakes::FakeLink;
using fakes::FaultPlan;

// Kinds up to kConfigure, those up to kUpgrade and the later ones are generated separately, so that
// a seed keeps its faults when a kind is added.
constexpr int kFirstKinds = static_cast<int>(FaultKind::kConfigure) + 1;
constexpr int kSecondKinds = static_cast<int>(FaultKind::kUpgrade) + 1;
constexpr int kKinds = static_cast<int>(FaultKind::kLeave) + 1;
constexpr int kMaxLateGapMs = 4000;  // between the starts of faults of the later kinds
// Ranges of the gaps between the starts of faults and of their durations. Some durations are
// shorter and some are longer than the lease of 3 s.
constexpr int kMinGapMs = 200;
constexpr int kMaxGapMs = 1600;
constexpr int kMinDurationMs = 300;
constexpr int kMaxDurationMs = 4500;
constexpr int kStopLimitMs = 10000;  // the grace period of 8 s and a margin
constexpr int64_t kSlowStoreMs = 250;
constexpr int64_t kLateApplyMs = 800;

void SetStoreMode(Site& site, FaultPlan::Mode mode) {
  FaultPlan plan = site.Store().Server().Faults();
  plan.mode = mode;
  plan.delay_ms = kSlowStoreMs;
  site.Store().Server().SetFaults(plan);
}

void Restart(Site& site, SoakInstance& instance) {
  const auto started = site.StartProcess(instance);
  if (!started)
    LogError("soak", "cannot restart an instance; it stays down",
             {{"error", started.error().message}});
}

// Sends the signal of `fault` to the instance and, when the fault ends, restarts or continues its
// process. Does nothing if the process is down or frozen.
void InjectInstanceFault(Task& task, Site& site, SoakInstance& instance, const Fault& fault) {
  if (!instance.process || !instance.process->Running() || instance.frozen) return;
  const TimePoint end = SteadyNow() + fault.duration;
  switch (fault.kind) {
    case FaultKind::kKill:
      instance.process->Signal(SIGKILL);
      SleepUntil(task, end);
      Restart(site, instance);
      break;
    case FaultKind::kFreeze:
      instance.frozen = true;
      instance.process->Signal(SIGSTOP);
      SleepUntil(task, end);
      instance.process->Signal(SIGCONT);
      instance.frozen = false;
      break;
    case FaultKind::kStop: {
      instance.process->Signal(SIGTERM);
      const TimePoint limit = SteadyNow() + milliseconds(kStopLimitMs);
      while (instance.process->Running() && SteadyNow() < limit) {
        SleepUntil(task, SteadyNow() + milliseconds(50));
      }
      if (instance.process->Running()) {
        LogError("soak", "an instance did not exit within its grace period; sending SIGKILL",
                 {{"instance", instance.id}});
        instance.process->Signal(SIGKILL);
      }
      Restart(site, instance);
      break;
    }
    default:
      instance.process->Signal(SIGHUP);
      break;
  }
}

void InjectFault(Task& task, Site& site, const Fault& fault) {
  const TimePoint end = SteadyNow() + fault.duration;
  SoakInstance& instance = site.Instances()[fault.index % site.Instances().size()];
  auto& engine = *site.Engines()[fault.index % site.Engines().size()];
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kFreeze:
    case FaultKind::kStop:
    case FaultKind::kReload:
      InjectInstanceFault(task, site, instance, fault);
      break;
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreSlow:
      SetStoreMode(site, fault.kind == FaultKind::kStoreDown     ? FaultPlan::Mode::kDown
                         : fault.kind == FaultKind::kStoreSilent ? FaultPlan::Mode::kSilent
                                                                 : FaultPlan::Mode::kSlow);
      SleepUntil(task, end);
      SetStoreMode(site, FaultPlan::Mode::kUp);
      break;
    case FaultKind::kStoreLoses:
      site.Store().Server().Faults().lose_answers += 3;
      site.Store().Server().Faults().delay_apply_ms = fault.index % 2 == 0 ? 0 : kLateApplyMs;
      break;
    case FaultKind::kHistoryLost:
      site.Store().DropHistory();
      break;
    case FaultKind::kStoreCut:
    case FaultKind::kStoreMuted:
      instance.store_link->SetMode(fault.kind == FaultKind::kStoreCut ? FakeLink::Mode::kCut
                                                                      : FakeLink::Mode::kSilentAll);
      SleepUntil(task, end);
      instance.store_link->SetMode(FakeLink::Mode::kUp);
      break;
    case FaultKind::kTargetCut:
    case FaultKind::kTargetMuted: {
      auto& link = *site.TargetLinks()[fault.index % site.TargetLinks().size()];
      link.SetMode(fault.kind == FaultKind::kTargetCut ? FakeLink::Mode::kCut
                                                       : FakeLink::Mode::kSilentAll);
      SleepUntil(task, end);
      link.SetMode(FakeLink::Mode::kUp);
      break;
    }
    case FaultKind::kEngineBreaks:
      engine.break_after_events = 1 + static_cast<int>(fault.index % 20);
      break;
    case FaultKind::kConfigure:
      site.WriteConfiguration(site.ConfigurationVersion() + 1);
      break;
    case FaultKind::kTargetLimit: {
      auto& targets = fault.index % 2 == 0 ? site.Engines() : site.Apps();
      auto& target = *targets[fault.index / 2 % targets.size()];
      target.request_limit = 1 + static_cast<double>(fault.index % 20);
      SleepUntil(task, end);
      target.request_limit.reset();
      break;
    }
    case FaultKind::kStranded: {
      constexpr FakeLink::Mode kModes[] = {FakeLink::Mode::kUnreachable, FakeLink::Mode::kRefuse,
                                           FakeLink::Mode::kRefuseNew};
      // Two thirds of the instances, or a third.
      const std::size_t spared = fault.index % 3;
      const bool most = fault.index % 2 == 0;
      const auto set = [&](FakeLink::Mode mode) {
        for (std::size_t i = 0; i < site.Instances().size(); ++i) {
          if ((i % 3 != spared) != most) continue;
          for (auto& link : site.Instances()[i].target_links) link->SetMode(mode);
        }
      };
      set(kModes[fault.index / 6 % 3]);
      SleepUntil(task, end);
      set(FakeLink::Mode::kUp);
      break;
    }
    case FaultKind::kCrash: {
      auto& targets = fault.index % 2 == 0 ? site.Engines() : site.Apps();
      for (std::size_t i = 0; i < 2; ++i) {
        targets[(fault.index / 2 + i) % targets.size()]->Crash();
        SleepUntil(task, SteadyNow() + fault.duration / 2);
      }
      break;
    }
    case FaultKind::kLeave:
      engine.leaving = true;
      SleepUntil(task, end);
      engine.leaving = false;
      engine.Restart(engine.software);
      break;
    case FaultKind::kUpgrade:
      engine.Restart(engine.software == kSecondSoftware ? fakes::PlatformEngine::kSoftware
                                                        : kSecondSoftware);
      break;
  }
}

}  // namespace

const char* FaultName(FaultKind kind) {
  constexpr const char* kNames[kKinds] = {
      "kill",         "freeze",     "stop",         "reload",        "store_down",
      "store_silent", "store_slow", "store_loses",  "history_lost",  "store_cut",
      "store_muted",  "target_cut", "target_muted", "engine_breaks", "configure",
      "target_limit", "upgrade",    "stranded",     "crash",         "leave"};
  return kNames[static_cast<int>(kind)];
}

std::vector<Fault> GenerateFaults(uint64_t seed, Duration span) {
  std::mt19937_64 random(seed);
  const auto between = [&](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  std::vector<Fault> faults;
  const auto generate = [&](int first_kind, int last_kind, int max_gap_ms) {
    for (Duration start = milliseconds(between(kMinGapMs, max_gap_ms)); start < span;
         start += milliseconds(between(kMinGapMs, max_gap_ms))) {
      Fault fault;
      fault.kind = static_cast<FaultKind>(between(first_kind, last_kind));
      fault.start = start;
      fault.duration = milliseconds(between(kMinDurationMs, kMaxDurationMs));
      fault.index = static_cast<std::size_t>(between(0, 1000));
      faults.push_back(fault);
    }
  };
  generate(0, kFirstKinds - 1, kMaxGapMs);
  generate(kFirstKinds, kSecondKinds - 1, kMaxLateGapMs);
  generate(kSecondKinds, kKinds - 1, kMaxLateGapMs);
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& a, const Fault& b) { return a.start < b.start; });
  return faults;
}

void InjectFaults(Task& task, Runtime& runtime, Site& site, const std::vector<Fault>& faults) {
  const TimePoint begin = SteadyNow();
  const auto open = std::make_shared<int>(0);
  for (const Fault& fault : faults) {
    SleepUntil(task, begin + fault.start);
    LogInfo("soak", "fault",
            {{"kind", FaultName(fault.kind)},
             {"which", std::to_string(fault.index)},
             {"length_ms", std::to_string(ToMillis(fault.duration))}});
    ++*open;
    runtime.Spawn([&site, fault, open](Task& other) {
      InjectFault(other, site, fault);
      --*open;
    });
  }
  while (*open > 0) SleepUntil(task, SteadyNow() + milliseconds(20));
}

}  // namespace anvilcroft::soak
