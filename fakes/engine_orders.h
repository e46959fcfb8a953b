#ifndef FAKES_ENGINE_ORDERS_H_
#define FAKES_ENGINE_ORDERS_H_

// What a fake engine has loaded, and the orders that change it, one at a time.
//
// The last order of a kind that succeeded is not run again when it comes again with the same
// order_id; one that failed is. Only the last one counts: an owner may name orders by their
// content, and must be able to undo a change that an old owner made in between. With fencing checks
// an order whose token is lower than the highest one seen is rejected, also if the higher one came
// while it waited for its turn.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/event.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/time.h"

namespace anvilcroft::fakes {

class EngineOrders {
 public:
  // What the engine serves at present.
  struct Loaded {
    std::string model = "base";
    std::set<std::string> adapters;
    int64_t weight_version = 1;
    std::string role = "mixed";
  };

  struct Hooks {
    // Fetches a weight version. The batch goes on meanwhile.
    std::function<Result<void>(Task&, int64_t version)> download;
    // Waits; false if the engine crashed.
    std::function<bool(Task&, Duration)> delay;
    // Whether the next swap is to fail.
    std::function<bool()> fail_swap;
    // Cached KV belongs to the old weights and must go.
    std::function<void()> weights_changed;
    std::function<int64_t()> millis;
  };

  struct Options {
    bool checks_fencing = true;
    // Time to install a model or a weight version, during which no token is produced.
    Duration swap_time = milliseconds(100);
  };

  EngineOrders(const Loaded& initial, const Options& options, Hooks hooks)
      : initial(initial), loaded(initial), options(options), hooks(std::move(hooks)) {}

  // Runs one order to its end. Errors: kInvalidArgument, kOldFencing, kSwapFailed (the engine keeps
  // what it had) and kConnectionLost (the engine crashed).
  Result<void> Run(Task& task, const nlohmann::json& order);

  // Forgets everything, as a restart of the engine does.
  void Reset();

  const Loaded& Current() const { return this->loaded; }
  // Whether an order is changing the model or the weights.
  bool Swapping() const { return this->swapping; }
  // Whether the batch stands still for it.
  bool Installing() const { return this->installing; }
  bool ChecksFencing() const { return this->options.checks_fencing; }
  uint64_t HighestFencing() const { return this->highest_fencing; }
  // Message of the last failed swap; empty after one that succeeded.
  const std::string& LastError() const { return this->last_error; }
  const nlohmann::json& Log() const { return this->log; }

 private:
  struct Order {
    std::string id;
    std::string kind;
    uint64_t fencing = 0;
    std::string name;  // model, adapter or role
    int64_t version = 0;
  };

  static Result<Order> Decode(const nlohmann::json& value);
  Result<void> WaitAndExecute(Task& task, const Order& order);
  bool HasCompleted(const Order& order) const;
  Result<void> CheckFencing(const Order& order);
  Result<void> Execute(Task& task, const Order& order);
  Result<void> Swap(Task& task, const Order& order);

  Loaded initial;
  Loaded loaded;
  Options options;
  Hooks hooks;
  std::map<std::string, std::string> last_completed;  // last order_id that succeeded, by kind
  uint64_t highest_fencing = 0;
  bool busy = false;
  bool swapping = false;
  bool installing = false;
  uint64_t restarts = 0;
  std::string last_error;
  nlohmann::json log = nlohmann::json::array();
  std::shared_ptr<Event> order_ended = std::make_shared<Event>();
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_ENGINE_ORDERS_H_
