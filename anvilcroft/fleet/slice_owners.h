#ifndef ANVILCROFT_FLEET_SLICE_OWNERS_H_
#define ANVILCROFT_FLEET_SLICE_OWNERS_H_

// Takes part in the ownership of slices: follows the plan, keeps the leases of the slices for which
// this instance is in line, and runs an owner for each. Slice 0 is the lease and the owner that
// each instance has without slices; they only get their scope here.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "anvilcroft/batch_owner.h"
#include "anvilcroft/fleet/slice_planner.h"
#include "anvilcroft/fleet/slice_view.h"
#include "anvilcroft/front_directory.h"
#include "anvilcroft/http_request.h"
#include "anvilcroft/http_response.h"
#include "anvilcroft/lease_peers.h"

namespace anvilcroft {

class SliceOwners {
 public:
  // Instances in line for a slice read the row of its lease.
  static constexpr int kLineLength = 3;
  // For this long after a change of the plan only the first instance in line acquires the lease of
  // a slice, so that the large machines get them.
  static constexpr Duration kFirstOnly = milliseconds(1500);

  // Creates the context of the owner of one more slice, with the given lease.
  using ContextFactory = std::function<std::unique_ptr<BatchContext>(LeaseKeeper&)>;

  // `lease` has the settings of the lease of slice 0. `per_slice`: FrontSettings::EnginesPerSlice.
  SliceOwners(Runtime& runtime, MetadataStore& store, FrontDirectory& directory,
              LeaseSettings lease, int per_slice, ContextFactory make_context,
              std::function<bool()> unfit);

  // Limits `context` and `keeper` to slice 0 and starts the tasks. Does nothing if slices are not
  // enabled. Call before the directory and `keeper` start.
  void Start(BatchContext& context, LeaseKeeper& keeper);

  // Handles a call of another instance about the lease of a slice other than the first: its path
  // and body, at LeasePeers::kPath or kOfferPath. Returns nullopt for another path.
  std::optional<HttpResponse> HandlePeer(Task& task, const HttpRequest& request, bool stopping);

  // Notifies all owners that a new plan may differ from the last one.
  void NotifyOwners();

  // Saves the texts of all owners and releases their leases.
  void HandOver(TimePoint deadline);

  // The slices whose leases this instance holds, apart from slice 0.
  std::vector<int> Held() const;

 private:
  struct Owner {
    std::unique_ptr<LeaseKeeper> keeper;
    std::unique_ptr<LeasePeers> peers;
    std::unique_ptr<BatchContext> context;
    std::unique_ptr<BatchOwner> owner;
  };

  void ApplyPlan(const StoredRow& row);
  void Run(Task& task);
  Owner& Add(int slice);
  // The instances in line for `slice`.
  const std::vector<std::string>& Line(int slice);
  int Rank(int slice);
  // The services whose engines run items.
  std::vector<ServiceSize> Sizes() const;

  Runtime& runtime;
  MetadataStore& store;
  FrontDirectory& directory;
  LeaseSettings lease;
  int per_slice;
  ContextFactory make_context;
  std::function<bool()> unfit;
  SliceView view;
  BatchContext* first = nullptr;  // of slice 0
  LeaseKeeper* first_keeper = nullptr;
  std::unique_ptr<SlicePlanner> planner;
  std::map<int, Owner> owners;  // by slice; kept while their slices are not in use
  bool stopping = false;
  std::map<int, std::vector<std::string>> lines;  // by slice
  // Versions of the live instances and of the plan, and holder of slice 0, that `lines` are for.
  std::tuple<int64_t, int64_t, std::string> lines_version = {-1, -1, ""};
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_FLEET_SLICE_OWNERS_H_
