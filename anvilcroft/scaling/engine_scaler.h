#ifndef ANVILCROFT_SCALING_ENGINE_SCALER_H_
#define ANVILCROFT_SCALING_ENGINE_SCALER_H_

// Orders the numbers of engines that PlanEngines finds for the services with a `Scaling` in the
// configuration, while this instance holds the owner lease.
//
//   EngineScaler scaler(context, *settings.Cloud(), settings.OwnerLease());
//   scaler.Start();

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/batch_context.h"
#include "anvilcroft/front_settings.h"
#include "anvilcroft/scaling/order_record.h"
#include "anvilcroft/scaling/order_schedule.h"
#include "anvilcroft/scaling/scaling_plan.h"
#include "platform/cloud_client.h"

namespace anvilcroft {

class EngineScaler {
 public:
  EngineScaler(BatchContext& context, const CloudSettings& settings, Duration lease_duration);

  void Start();

  // Applies a changed address and rate of calls.
  void ApplySettings(const CloudSettings& changed);

 private:
  struct Group {
    GroupOrders orders;
    int64_t row_version = 0;
    int present = 0;
    int busy = 0;
    int desired = 0;
    // The numbers of engines of the last seconds: entries may be missing for a moment.
    std::deque<std::pair<TimePoint, int>> history;

    int StablePresent() const;
  };
  struct Order {
    EngineGroupId group;
    int count = 0;
    const char* reason = "";
    std::optional<int> before;  // the number that was accepted before
    int64_t fencing = 0;
  };
  struct Service {
    DemandWindow demand;
    ScalingMemory memory;
    int present = 0;
    TimePoint grown_at;  // when the number of engines last increased
    TimePoint lost_at;
  };

  void Run(Task& task);
  // Counts the engines of each group and detects those that are taken away.
  void Observe(const RouteTable& routes, TimePoint now);
  void ObserveDemand(const RouteTable& routes, TimePoint now);
  double OutstandingEvents(const RouteTable& routes, const std::string& service) const;
  // Median time for an event on an otherwise idle engine of the service, in ms.
  double MeasuredEventMs(const std::string& service) const;
  // Adds the groups that may be ordered, and their metrics.
  void AddGroups(const TargetService& service);
  Group& GetGroup(const EngineGroupId& id);
  // Whether the other kind of engines has been ordered in the zone within kCallInterval: the API
  // takes both kinds for one subject.
  bool ZoneOrderedRecently(const EngineGroupId& id, TimePoint now) const;
  void PlanService(const TargetService& service, TimePoint now);

  // Starts to use the lease's token: forgets what is known of orders and reads the rows. Returns
  // whether the rows are known.
  bool PrepareTerm(Task& task);
  bool LoadRows(Task& task);
  // Whether an order with the token `fencing` may be sent now.
  bool MayOrder(int64_t fencing) const;
  // Whether the store's lease row still names this holder; if not, the token is not used again.
  bool ConfirmLease(Task& task, int64_t fencing);

  void StartOrder(const EngineGroupId& id, int count, const char* reason, TimePoint now);
  void SendOrder(Task& task, const Order& order);
  // Writes the row of the group. On failure, all rows are read again before the next order.
  bool WriteRow(Task& task, const Order& order, bool answered);
  CountOutcome Call(Task& task, const Order& order);

  BatchContext& context;
  CloudSettings settings;
  Duration lease_duration;
  platform::CloudClient client;

  int64_t fencing = 0;  // token that the state belongs to; 0: none
  bool rows_known = false;
  // A refusal may mean that another holder has a higher token; orders wait for ConfirmLease.
  bool unconfirmed = false;
  int64_t refused_fencing = 0;              // token that must not be used again
  BootTime orders_from = BootTime::zero();  // no order is sent earlier
  TimePoint observed_since;
  TimePoint next_call_at;  // limits the rate of calls
  TimePoint limited_until;
  int limited = 0;  // refusals in succession because of too many calls
  std::map<EngineGroupId, Group> groups;
  std::map<std::string, Service> services;
  std::set<std::pair<std::string, WallMillis>> leaving;  // engines that are known to leave
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SCALING_ENGINE_SCALER_H_
