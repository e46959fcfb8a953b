#include "anvilcroft/fleet/slice_owners.h"

#include <algorithm>

#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr Duration kInterval = milliseconds(200);
constexpr int kNoRank = 1000000;
// Instances that a holder without access to the store asks for a later record of its lease.
constexpr std::size_t kMaxPeers = 4;

// The slice in a path that LeasePeers::SlicePath made; 0: none.
int SliceInPath(const std::string& path, const std::string& prefix) {
  if (path.compare(0, prefix.size() + 1, prefix + "/") != 0) return 0;
  for (int slice = 1; slice < kMaxSlices; ++slice) {
    if (path.substr(prefix.size() + 1) == std::to_string(slice)) return slice;
  }
  return 0;
}

}  // namespace

SliceOwners::SliceOwners(Runtime& runtime, MetadataStore& store, FrontDirectory& directory,
                         LeaseSettings lease, int per_slice, ContextFactory make_context,
                         std::function<bool()> unfit)
    : runtime(runtime),
      store(store),
      directory(directory),
      lease(std::move(lease)),
      per_slice(per_slice),
      make_context(std::move(make_context)),
      unfit(std::move(unfit)),
      view(per_slice > 0, this->lease.lease_duration) {}

void SliceOwners::Start(BatchContext& context, LeaseKeeper& keeper) {
  if (!this->view.Enabled()) return;
  this->first = &context;
  this->first_keeper = &keeper;
  context.scope = SliceScope{&this->view, 0};
  keeper.SetGuard([this] { return this->view.Guard(); }, false);
  this->view.SetPeersReady([this] {
    const auto& live = this->directory.LiveFronts();
    return this->directory.Following() &&
           std::all_of(live.begin(), live.end(),
                       [](const FrontRecord& front) { return front.slices; });
  });
  this->directory.SetSharedRowHook(SliceView::kRowPrefix,
                                   [this](const std::string& name, const StoredRow& row) {
                                     if (name == SliceView::kRowName) this->ApplyPlan(row);
                                   });
  this->planner = std::make_unique<SlicePlanner>(
      this->runtime, this->store, this->view, keeper, this->per_slice,
      [this] { return this->Sizes(); }, [this](const StoredRow& row) { this->ApplyPlan(row); });
  this->planner->Start();
  context.metrics.RegisterGauge("anvilcroft_slices", {},
                                [this] { return static_cast<double>(this->view.Plan().count); });
  context.metrics.RegisterGauge("anvilcroft_slices_held", {},
                                [this] { return static_cast<double>(this->Held().size()); });
  this->runtime.SpawnService("slices", [this](Task& task) { this->Run(task); });
}

void SliceOwners::ApplyPlan(const StoredRow& row) {
  if (this->view.Apply(row, BootNow())) this->NotifyOwners();
}

void SliceOwners::NotifyOwners() {
  if (this->first != nullptr) this->first->plan_inputs_changed.NotifyAll();
  for (auto& [slice, entry] : this->owners) entry.context->plan_inputs_changed.NotifyAll();
}

void SliceOwners::Run(Task& task) {
  while (!this->stopping) {
    this->view.CheckPeers(BootNow());
    for (int slice = 1; slice < this->view.Plan().count; ++slice) {
      if (this->owners.count(slice) == 0 && this->Rank(slice) < kLineLength) this->Add(slice);
    }
    SleepUntil(task, SteadyNow() + kInterval);
  }
}

SliceOwners::Owner& SliceOwners::Add(int slice) {
  Owner& entry = this->owners[slice];
  LeaseSettings settings = this->lease;
  settings.key = SliceLeaseKey(slice);
  settings.standby_watch = false;
  entry.keeper = std::make_unique<LeaseKeeper>(
      this->runtime, this->store, settings, [this, slice] { return this->Rank(slice); },
      [&entry] { entry.context->plan_inputs_changed.NotifyAll(); });
  entry.context = this->make_context(*entry.keeper);
  entry.context->scope = SliceScope{&this->view, slice};
  entry.owner = std::make_unique<BatchOwner>(*entry.context);
  entry.peers = std::make_unique<LeasePeers>(
      this->runtime,
      [this, slice] {
        std::vector<std::string> addresses;
        for (const std::string& instance : this->Line(slice)) {
          const std::string address = this->directory.InternalAddress(instance);
          if (instance == this->lease.self || address.empty()) continue;
          if (addresses.size() < kMaxPeers) addresses.push_back(address);
        }
        return addresses;
      },
      slice);
  LeaseKeeper& keeper = *entry.keeper;
  keeper.SetGuard([this] { return this->view.Guard(); }, true);
  keeper.SetInUse([this, slice] {
    return slice < this->view.Plan().count && this->view.CheckPeers(BootNow());
  });
  keeper.SetUnfit(this->unfit);
  keeper.SetPeerQuery(
      [&entry](Task& task, int64_t term) { return entry.peers->FindLaterRecord(task, term); });
  keeper.SetOffer([&entry](Task& task, const OwnerRecord& record) {
    return entry.peers->OfferLease(task, {record, entry.owner->UnfinishedTexts()});
  });
  keeper.SetEndedQuery([this](Task& task, const std::string& holder) {
    return LeasePeers::HasEnded(task, this->directory.InternalAddress(holder));
  });
  keeper.Start();
  entry.owner->Start();
  return entry;
}

const std::vector<std::string>& SliceOwners::Line(int slice) {
  const std::string& holder = this->first_keeper->Holder();
  const std::tuple<int64_t, int64_t, std::string> version = {this->directory.LiveVersion(),
                                                             this->view.Generation(), holder};
  if (version != this->lines_version) {
    this->lines.clear();
    std::vector<FrontRecord> order = this->directory.TakeoverOrder();
    std::stable_partition(order.begin(), order.end(),
                          [&holder](const FrontRecord& front) { return front.instance == holder; });
    for (int i = 1; i < this->view.Plan().count; ++i) {
      this->lines[i] = SliceLine(order, i, this->view.Plan().count);
    }
    this->lines_version = version;
  }
  return this->lines[slice];
}

int SliceOwners::Rank(int slice) {
  const std::vector<std::string>& line = this->Line(slice);
  const auto found = std::find(line.begin(), line.end(), this->lease.self);
  if (found == line.end()) return kNoRank;
  const auto rank = static_cast<int>(found - line.begin());
  return rank > 0 && BootNow() < this->view.SeenAt() + kFirstOnly ? kNoRank : rank;
}

std::vector<ServiceSize> SliceOwners::Sizes() const {
  const auto routes = this->first->routes();
  if (!routes) return {};
  std::map<std::string, ServiceSize> sizes;
  for (const ServiceRoute& route : routes->Routes()) {
    if (route.kind != RouteKind::kRollout) continue;
    for (const ServiceShare& share : route.split.Active()) {
      sizes[share.service].service = share.service;
    }
  }
  for (const auto& [id, target] : this->first->pool.All()) {
    const auto found = sizes.find(target.entry.service);
    if (found == sizes.end() || target.entry.versions.empty() || target.Leaving()) continue;
    ++found->second.engines;
    for (const auto& [model, version] : target.entry.versions) found->second.models.insert(model);
  }
  std::vector<ServiceSize> list;
  for (auto& [service, size] : sizes) list.push_back(std::move(size));
  return list;
}

std::optional<HttpResponse> SliceOwners::HandlePeer(Task& task, const HttpRequest& request,
                                                    bool stopping) {
  const int offered = SliceInPath(request.Path(), LeasePeers::kOfferPath);
  const int asked = offered != 0 ? 0 : SliceInPath(request.Path(), LeasePeers::kPath);
  if (offered == 0 && asked == 0) return std::nullopt;
  const auto found = this->owners.find(std::max(offered, asked));
  if (asked != 0) {
    const OwnerRecord none;
    return JsonResponse(
        200, EncodeOwner(found == this->owners.end() ? none : found->second.keeper->LastRecord()));
  }
  auto handover = DecodeHandover(request.Body());
  if (!handover) return ErrorResponse(handover.error());
  HandoverAnswer answer = HandoverAnswer::kDeclined;
  if (found != this->owners.end() && !stopping) {
    found->second.owner->AddHandedTexts(std::move(handover->texts), SteadyNow());
    answer = found->second.keeper->Accept(task, handover->record);
  }
  return JsonResponse(HandoverStatus(answer), "{}");
}

void SliceOwners::HandOver(TimePoint deadline) {
  this->stopping = true;
  for (auto& [slice, entry] : this->owners) {
    this->runtime.Spawn([&owner = *entry.owner, &keeper = *entry.keeper, deadline](Task& task) {
      owner.HandOver(task, deadline);
      keeper.Release(task, deadline + seconds(1));
    });
  }
}

std::vector<int> SliceOwners::Held() const {
  std::vector<int> slices;
  for (const auto& [slice, entry] : this->owners) {
    if (entry.keeper->Held().ValidAt(BootNow())) slices.push_back(slice);
  }
  return slices;
}

}  // namespace anvilcroft
