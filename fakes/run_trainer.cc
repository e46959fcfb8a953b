#include <sstream>

#include "anvilcroft/json.h"
#include "fakes/fake_trainer.h"
#include "fakes/program.h"

namespace anvilcroft::fakes {
namespace {

// Parses a comma-separated list of "ip:port".
Result<std::vector<Endpoint>> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> endpoints;
  std::istringstream list(text);
  for (std::string item; std::getline(list, item, ',');) {
    const auto endpoint = ParseEndpoint(item);
    if (!endpoint) return tl::unexpected<Error>(endpoint.error());
    endpoints.push_back(*endpoint);
  }
  if (endpoints.empty()) return Fail(ErrorCode::kInvalidArgument, "no ip:port given", "instances");
  return endpoints;
}

}  // namespace

int RunTrainer(const Arguments& arguments) {
  const FakeTrainer::Options defaults;
  Options options("trainer", "trainer that takes samples and publishes weight versions");
  const auto address =
      options.AddText("address", "address to listen on, for /control/log", defaults.address);
  const auto instances = options.AddText("instances", "comma-separated ip:port of instances", "");
  const auto name = options.AddText("name", "name of the trainer", defaults.name);
  const auto service = options.AddText("service", "service to train", defaults.service);
  const auto operation =
      options.AddText("operation", "operation that generates samples", defaults.operation);
  const auto judge = options.AddText("judge", "service that judges samples", defaults.judge);
  const auto zone = options.AddText("zone", "availability zone", "");
  const auto uri = options.AddText("weights-uri", "URI of published weights", "");
  const auto seed = options.AddInteger("seed", "part of prompts and take ids", 1);
  const auto steps = options.AddInteger("steps", "number of steps", defaults.steps);
  const auto groups = options.AddInteger("groups", "groups per step", defaults.groups);
  const auto samples = options.AddInteger("samples", "samples per group", defaults.samples);
  const auto tokens = options.AddInteger("max-tokens", "tokens per sample", defaults.max_tokens);
  const auto long_every = options.AddInteger(
      "long-group-every", "every n-th group has samples ten times as long; 0: none", 0);
  const auto bound = options.AddInteger("staleness-bound", "staleness bound in weight versions",
                                        defaults.staleness_bound);
  const auto first = options.AddInteger("first-version", "weight version at the start", 1);
  const auto ahead =
      options.AddInteger("steps-ahead", "steps submitted ahead", defaults.steps_ahead);
  const auto no_publish = options.AddSwitch("no-publish", "publishes no weight versions");
  const auto step_ms = options.AddInteger("step-ms", "training time of one step", 100);
  const auto take_max =
      options.AddInteger("take-max", "maximum number of samples per take", defaults.take_max);
  const auto stall =
      options.AddInteger("stall-seconds", "the run fails after this long without progress", 300);
  const auto any_reward = options.AddSwitch("any-reward", "does not check rewards");
  options.Parse(arguments);
  const auto endpoints = ParseEndpoints(instances->getValue());
  if (!endpoints) {
    std::cerr << "fakes: " << endpoints.error().message << ": " << endpoints.error().part << "\n";
    return 2;
  }
  FakeTrainer::Options chosen;
  chosen.address = address->getValue();
  chosen.instances = *endpoints;
  chosen.name = name->getValue();
  chosen.service = service->getValue();
  chosen.operation = operation->getValue();
  chosen.judge = judge->getValue();
  chosen.zone = zone->getValue();
  chosen.weights_uri = uri->getValue();
  chosen.seed = static_cast<uint64_t>(seed->getValue());
  chosen.steps = steps->getValue();
  chosen.groups = groups->getValue();
  chosen.samples = samples->getValue();
  chosen.max_tokens = tokens->getValue();
  chosen.long_group_every = long_every->getValue();
  chosen.staleness_bound = bound->getValue();
  chosen.first_version = first->getValue();
  chosen.steps_ahead = ahead->getValue();
  chosen.publishes = !no_publish->getValue();
  chosen.step_time = milliseconds(step_ms->getValue());
  chosen.take_max = take_max->getValue();
  chosen.stall_limit = seconds(stall->getValue());
  chosen.checks_rewards = !any_reward->getValue();
  Runtime runtime;
  const auto trainer = FakeTrainer::Builder(runtime).SetOptions(chosen).Build();
  runtime.Spawn([&](Task& task) {
    trainer->Wait(task);
    runtime.Stop();
  });
  const int code = Serve(runtime, *trainer);
  if (code != 0) return code;
  std::cout << DumpJson(trainer->Summary()) << std::endl;
  return trainer->Ok() ? 0 : 1;
}

}  // namespace anvilcroft::fakes
