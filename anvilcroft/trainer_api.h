#ifndef ANVILCROFT_TRAINER_API_H_
#define ANVILCROFT_TRAINER_API_H_

// The HTTP routes for trainers: trainers, weights, steps, takes, and the list of samples for
// operators. Any instance serves them; they touch no local state but caches.

#include <functional>
#include <string>

#include "anvilcroft/cluster_view.h"
#include "anvilcroft/http_router.h"
#include "anvilcroft/sample_store.h"
#include "anvilcroft/take.h"
#include "anvilcroft/weight_catalog.h"

namespace anvilcroft {

class TrainerApi {
 public:
  // Time for a request without the header X-Deadline-Ms, and the longest that may be asked for.
  static constexpr Duration kDefaultDeadline = seconds(10);
  static constexpr Duration kLongestDeadline = seconds(60);
  // Most samples in one list for operators.
  static constexpr std::size_t kMaxListed = 1000;

  // The hooks are called after new weights were published and after a step gave a shard work.
  struct Hooks {
    std::function<void()> weights_published;
    std::function<void(int shard)> notify_shard;
  };

  TrainerApi(ClusterView view, StoreAccess store, SampleStore& samples, Take& take,
             WeightCatalog& weights, Hooks hooks);

  void RegisterRoutes(HttpRouter& router);

 private:
  using Answer = Result<nlohmann::json>;
  using Call = std::function<Answer(Task&, const HttpRequest&, const PathParts&, TimePoint)>;

  void Add(HttpRouter& router, const char* method, const char* pattern, Call call);
  Answer PutTrainer(Task& task, const HttpRequest& request, const PathParts& parts,
                    TimePoint deadline);
  Answer PostWeights(Task& task, const HttpRequest& request, TimePoint deadline);
  Answer PostStep(Task& task, const HttpRequest& request, const PathParts& parts,
                  TimePoint deadline);
  Answer PostTake(Task& task, const HttpRequest& request, const PathParts& parts,
                  TimePoint deadline);
  Answer ListSamples(Task& task, const HttpRequest& request, TimePoint deadline);
  // Fails with kNotFound unless the configuration names the service.
  Result<void> CheckService(const std::string& service, const char* field) const;

  ClusterView view;
  StoreAccess store;
  SampleStore& samples;
  Take& take;
  WeightCatalog& weights;
  Hooks hooks;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TRAINER_API_H_
