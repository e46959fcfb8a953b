#ifndef ANVILCROFT_TRAINER_API_H_
#define ANVILCROFT_TRAINER_API_H_

// HTTP routes for trainers (registration, weights, steps and takes) and the list of samples for
// operators. Every instance serves them; their state is in the table service, and the instance
// only caches it.

#include <functional>
#include <string>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/sample_delivery.h"
#include "anvilcroft/sample_store.h"
#include "anvilcroft/weight_catalog.h"

namespace anvilcroft {

class TrainerApi {
 public:
  // Time limit of a request without the header X-Deadline-Ms, and the maximum that the header can
  // set.
  static constexpr Duration kDefaultDeadline = seconds(10);
  static constexpr Duration kMaxDeadline = seconds(60);
  // Maximum number of samples in one response of GET /v1/samples.
  static constexpr std::size_t kMaxListed = 1000;

  struct Hooks {
    // Called after new weights were published.
    std::function<void()> weights_published;
    // Called for each shard with groups of a submitted step.
    std::function<void(int shard)> notify_shard;
  };

  TrainerApi(ClusterView view, StoreAccess store, SampleStore& samples, SampleDelivery& delivery,
             WeightCatalog& weights, Hooks hooks);

  void RegisterRoutes(HttpRouter& router);

 private:
  using Answer = Result<nlohmann::json>;
  using RouteHandler =
      std::function<Answer(Task&, const HttpRequest&, const PathParts&, TimePoint)>;

  void AddRoute(HttpRouter& router, const char* method, const char* pattern, RouteHandler handler);
  Answer PutTrainer(Task& task, const HttpRequest& request, const PathParts& parts,
                    TimePoint deadline);
  Answer PostWeights(Task& task, const HttpRequest& request, TimePoint deadline);
  Answer PostStep(Task& task, const HttpRequest& request, const PathParts& parts,
                  TimePoint deadline);
  Answer PostTake(Task& task, const HttpRequest& request, const PathParts& parts,
                  TimePoint deadline);
  Answer ListSamples(Task& task, const HttpRequest& request, TimePoint deadline);
  // Fails with kNotFound unless the configuration has the service.
  Result<void> CheckService(const std::string& service, const char* field) const;

  ClusterView view;
  StoreAccess store;
  SampleStore& samples;
  SampleDelivery& delivery;
  WeightCatalog& weights;
  Hooks hooks;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRAINER_API_H_
