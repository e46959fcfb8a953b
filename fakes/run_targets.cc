#include <cstdlib>

#include "fakes/fake_app.h"
#include "fakes/fake_engine.h"
#include "fakes/fake_judge.h"
#include "fakes/program.h"

namespace anvilcroft::fakes {
namespace {

constexpr char kAnyPort[] = "127.0.0.1:0";
constexpr char kAddressHelp[] = "address to listen on";
// Exit code of a target that was crashed by a request.
constexpr int kCrashExit = 70;

}  // namespace

int RunEngine(const Arguments& arguments) {
  Options options("engine", "model engine");
  const auto address = options.AddText("address", kAddressHelp, kAnyPort);
  const auto id = options.AddText("id", "id of the engine", "engine");
  const auto zone = options.AddText("zone", "availability zone", "zone");
  const auto service = options.AddText("service", "service of the engine", "service");
  const auto seed = options.AddInteger("seed", "seed of the random choices", 1);
  const auto tokens_per_second =
      options.AddNumber("tokens-per-second", "tokens per second of one stream", 50);
  const auto prefill =
      options.AddNumber("prefill-tokens-per-second", "prompt tokens processed per second", 20000);
  const auto batch = options.AddInteger("batch-size", "maximum number of concurrent requests", 8);
  const auto kv = options.AddInteger("kv-tokens", "tokens in the KV cache", 100000);
  const auto store =
      options.AddText("weight-store", "ip:port of the weight store; empty: no download", "");
  const auto version = options.AddInteger("weight-version", "weight version at the start", 1);
  const auto swap =
      options.AddNumber("swap-seconds", "time to install a model or weight version", 0.1);
  const auto ignore_fencing = options.AddSwitch("ignore-fencing", "does not check fencing tokens");
  const auto load_lag = options.AddInteger("load-lag-ms", "delay of load reports", 0);
  const auto event_lag = options.AddInteger("cache-event-lag-ms", "delay of cache events", 500);
  const auto event_loss =
      options.AddNumber("cache-event-loss", "fraction of cache events dropped, 0 to 1", 0.1);
  options.Parse(arguments);
  Runtime runtime;
  const auto swap_ms = static_cast<int64_t>(swap->getValue() * 1000);
  const auto fake = FakeEngine::Builder(runtime)
                        .SetAddress(address->getValue())
                        .SetId(id->getValue())
                        .SetZone(zone->getValue())
                        .SetService(service->getValue())
                        .SetSeed(static_cast<uint64_t>(seed->getValue()))
                        .SetTokensPerSecond(tokens_per_second->getValue())
                        .SetPrefillTokensPerSecond(prefill->getValue())
                        .SetBatchSize(static_cast<std::size_t>(batch->getValue()))
                        .SetKvTokens(kv->getValue())
                        .SetWeightStore(store->getValue())
                        .SetWeightVersion(version->getValue())
                        .SetSwapTime(milliseconds(swap_ms))
                        .SetChecksFencing(!ignore_fencing->getValue())
                        .SetLoadLag(milliseconds(load_lag->getValue()))
                        .SetCacheEvents(milliseconds(event_lag->getValue()), event_loss->getValue())
                        .SetOnCrash([] { std::_Exit(kCrashExit); })
                        .Build();
  return Serve(runtime, *fake);
}

int RunApp(const Arguments& arguments) {
  Options options("app", "app engine");
  const auto address = options.AddText("address", kAddressHelp, kAnyPort);
  const auto delay_ms = options.AddInteger("delay-ms", "time between a run and its answer", 0);
  options.Parse(arguments);
  Runtime runtime;
  const auto fake = FakeApp::Builder(runtime)
                        .SetAddress(address->getValue())
                        .SetDelay(milliseconds(delay_ms->getValue()))
                        .SetOnCrash([] { std::_Exit(kCrashExit); })
                        .Build();
  return Serve(runtime, *fake);
}

int RunJudge(const Arguments& arguments) {
  Options options("judge", "service that judges samples");
  const auto address = options.AddText("address", kAddressHelp, kAnyPort);
  const auto delay_ms = options.AddInteger("delay-ms", "time of one judgement", 0);
  options.Parse(arguments);
  Runtime runtime;
  const auto fake = FakeJudge::Builder(runtime)
                        .SetAddress(address->getValue())
                        .SetDelay(milliseconds(delay_ms->getValue()))
                        .Build();
  return Serve(runtime, *fake);
}

}  // namespace anvilcroft::fakes
