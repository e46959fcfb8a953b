#ifndef FAKES_ENGINE_ORDERS_H_
#define FAKES_ENGINE_ORDERS_H_

// The model, adapters, weight version and role of a fake engine, and the orders that change them.
// Orders run one at a time.
//
// If the last successful order of a kind is sent again with the same order_id, it isn't executed
// again; a failed order is. Only the last successful order_id of each kind is compared, because an
// owner may derive an order_id from the content of the order and must be able to undo a change that
// a previous owner made in between. If fencing is checked, an order whose token is lower than the
// highest one seen is rejected, even if the higher token arrived while the order waited for its
// turn.

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
  // What the engine currently serves.
  struct Loaded {
    std::string model = "base";
    std::set<std::string> adapters;
    int64_t weight_version = 1;
    std::string role = "mixed";
  };

  struct Hooks {
    // Downloads a weight version. The batch keeps producing tokens meanwhile.
    std::function<Result<void>(Task&, int64_t version)> download;
    // Waits; returns false if the engine crashed meanwhile.
    std::function<bool(Task&, Duration)> delay;
    // Whether the next swap is to fail.
    std::function<bool()> fail_swap;
    // Called after new weights or a new model are installed. Must clear the KV cache, which was
    // computed with the old weights.
    std::function<void()> weights_changed;
    // Time for the log, in milliseconds since the engine was created.
    std::function<int64_t()> millis;
  };

  struct Options {
    bool checks_fencing = true;
    // Time to install a model or a weight version, during which no token is produced.
    Duration swap_time = milliseconds(100);
  };

  EngineOrders(const Loaded& initial, const Options& options, Hooks hooks)
      : initial(initial), loaded(initial), options(options), hooks(std::move(hooks)) {}

  // Waits until no other order runs, executes `order` and returns when it has ended. Errors:
  //   kInvalidArgument  the order is malformed
  //   kOldFencing       a higher fencing token was seen
  //   kSwapFailed       the engine keeps its previous model and weights
  //   kConnectionLost   the engine crashed
  Result<void> Run(Task& task, const nlohmann::json& order);

  // Restores the initial state and fails running and waiting orders, as a restart of the engine
  // does. The log is kept.
  void Reset();

  const Loaded& Current() const { return this->loaded; }
  // Whether an order is downloading or installing a model or a weight version.
  bool Swapping() const { return this->swapping; }
  // Whether an installation is running, during which no token is produced.
  bool Installing() const { return this->installing; }
  bool ChecksFencing() const { return this->options.checks_fencing; }
  uint64_t HighestFencing() const { return this->highest_fencing; }
  // Error message of the last swap; empty if it succeeded.
  const std::string& LastError() const { return this->last_error; }
  // Every ended order: {order_id, kind, fencing, version, name, outcome, at_ms}.
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
  std::map<std::string, std::string> last_completed;  // last successful order_id, by kind
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
