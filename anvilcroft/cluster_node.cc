#include "anvilcroft/cluster_node.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "anvilcroft/address_directory.h"
#include "anvilcroft/config_api.h"
#include "anvilcroft/configuration.h"
#include "anvilcroft/head_watcher.h"
#include "anvilcroft/log.h"
#include "anvilcroft/members_api.h"
#include "anvilcroft/membership.h"
#include "anvilcroft/peer_choice.h"
#include "anvilcroft/peer_network.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "cluster";
constexpr char kHeadTopic[] = "head";

// Copies `hooks` because a hook may register further hooks.
void CallAll(std::vector<ClusterNode::ChangeHook> hooks) {
  for (const auto& hook : hooks) hook();
}

}  // namespace

class ClusterNodeImpl : public ClusterNode {
 public:
  explicit ClusterNodeImpl(const ClusterNode::Builder& builder)
      : settings(builder.settings),
        head(builder.runtime, *builder.table, builder.settings.HeadPoll(), builder.seed ^ 1,
             this->HeadHooks()),
        membership(builder.runtime, *builder.table, builder.settings, builder.seed ^ 2,
                   this->MembershipHooks()),
        network(builder.runtime, *builder.metrics, builder.settings.InstanceId(), builder.seed ^ 3,
                this->NetworkHooks()),
        config(builder.runtime, *builder.table, builder.settings.Seeds().size(),
               this->ConfigHooks()),
        config_api(this->config),
        directory(this->View(), builder.settings.AddressTtl()),
        members_api(this->View(), this->MembersApiHooks()) {
    builder.metrics->RegisterGauge("anvilcroft_config_version", {}, [this] {
      return static_cast<double>(this->config.Document()->Version());
    });
    builder.metrics->RegisterGauge("anvilcroft_config_confirmed_age_seconds", {}, [this] {
      return static_cast<double>(this->ConfirmedAgeMs(SteadyNow())) / 1000;
    });
    builder.metrics->RegisterGauge("anvilcroft_members", {}, [this] {
      return static_cast<double>(this->membership.CurrentRoster()->Members().size());
    });
    builder.metrics->RegisterGauge("anvilcroft_lease_remaining_seconds", {}, [this] {
      return std::chrono::duration<double>(this->membership.LeaseRemaining(SteadyNow())).count();
    });
  }

  Result<void> Start(const std::string& bound_api_address) override {
    auto bound = this->network.Listen(this->settings.PeerAddress());
    if (!bound) return tl::unexpected<Error>(bound.error());
    this->peer_address = std::move(*bound);
    this->lifecycle.Handle(Lifecycle::Event::kStart);
    this->ChooseDestinations();
    this->config.Start();
    this->head.Start();
    this->membership.Start(bound_api_address, this->peer_address);
    return {};
  }

  std::string PeerAddress() const override { return this->peer_address; }

  ClusterView View() override {
    ClusterView view;
    view.self = this->settings.InstanceId();
    view.zone = this->settings.Zone();
    view.roster = [this] { return this->membership.CurrentRoster(); };
    view.config = [this] { return this->config.Document(); };
    view.holds_lease = [this](TimePoint now) { return this->membership.HoldsLease(now); };
    view.epoch = [this] { return this->membership.Epoch(); };
    view.may_serve = [this](TimePoint now) { return this->MayServe(now); };
    return view;
  }

  void RegisterRoutes(HttpRouter& router) override {
    this->config_api.RegisterRoutes(router);
    this->directory.RegisterRoutes(router);
    this->members_api.RegisterRoutes(router);
  }

  bool Ready() const override {
    const auto state = this->lifecycle.Current();
    const bool accepting =
        state == Lifecycle::State::kJoining || state == Lifecycle::State::kServing;
    // A member that has not yet read a roster with its own entry cannot determine whether it
    // reaches a majority, and would refuse patches.
    const bool listed =
        this->membership.CurrentRoster()->Find(this->settings.InstanceId()) != nullptr;
    return accepting && (listed || this->config.StoreFailed()) &&
           this->MayServe(SteadyNow()).has_value();
  }

  void OnRosterChange(ChangeHook hook) override { this->roster_hooks.push_back(std::move(hook)); }
  void OnConfigChange(ChangeHook hook) override { this->config_hooks.push_back(std::move(hook)); }
  void OnWeightsChange(ChangeHook hook) override { this->weights_hooks.push_back(std::move(hook)); }
  void OnNotify(NotifyHook hook) override { this->notify_hooks.push_back(std::move(hook)); }
  void OnSuspect(SuspectHook hook) override { this->suspect_hooks.push_back(std::move(hook)); }

  uint64_t WeightsVersion() const override { return this->weights_version; }

  void Notify(const std::string& topic, const nlohmann::json& payload) override {
    if (topic == kHeadTopic) this->head.RequestRead();
    this->network.Broadcast(NotifyMessage{topic, payload});
  }

  void BroadcastSuspect(const std::string& fingerprint, int64_t deaths, int64_t ttl_ms) override {
    this->network.Broadcast(SuspectMessage{fingerprint, deaths, ttl_ms});
  }

  void BeginLeaving(Task& task) override {
    if (!this->lifecycle.Handle(Lifecycle::Event::kLeave)) return;
    const auto marked = this->membership.MarkLeaving(task, SteadyNow() + kLeaveTimeout);
    if (!marked) {
      LogWarning(kPart, "cannot mark this instance as leaving in the roster",
                 {{"error", marked.error().message}});
    }
  }

  void Leave(Task& task) override {
    const auto left = this->membership.Leave(task, SteadyNow() + kLeaveTimeout);
    if (!left) {
      LogWarning(kPart,
                 "cannot remove this instance from the roster; other members remove it when its "
                 "lease expires",
                 {{"error", left.error().message}});
    }
    this->Halt();
    this->lifecycle.Handle(Lifecycle::Event::kStop);
  }

  void Halt() override {
    this->membership.Halt();
    this->head.Halt();
    this->config.Halt();
    this->network.Halt();
  }

  Lifecycle& State() override { return this->lifecycle; }

 private:
  HeadWatcher::Hooks HeadHooks() {
    return {[this](const Head& newest, TimePoint asked_at) { this->HandleHead(newest, asked_at); },
            [this] { this->config.NoteHeadFailure(); }};
  }

  Membership::Hooks MembershipHooks() {
    Membership::Hooks hooks;
    hooks.on_roster = [this] {
      this->ChooseDestinations();
      CallAll(this->roster_hooks);
    };
    hooks.on_roster_written = [this] { this->Notify(kHeadTopic, nullptr); };
    hooks.on_joined = [this] { this->lifecycle.Handle(Lifecycle::Event::kJoined); };
    hooks.on_removed = [this] { this->lifecycle.Handle(Lifecycle::Event::kRemoved); };
    hooks.on_replaced = [this] {
      this->Halt();
      this->lifecycle.Handle(Lifecycle::Event::kStop);
    };
    return hooks;
  }

  PeerNetwork::Hooks NetworkHooks() {
    PeerNetwork::Hooks hooks;
    hooks.hello = [this] {
      return HelloMessage{this->settings.InstanceId(), this->settings.Zone(),
                          this->membership.Epoch()};
    };
    hooks.digest = [this](TimePoint now) {
      return PeerDigest{this->config.Document()->Version(),
                        this->membership.CurrentRoster()->Version(), this->weights_version,
                        this->ConfirmedAgeMs(now)};
    };
    hooks.on_digest = [this](const std::string&, const PeerDigest& digest, TimePoint asked_at) {
      std::optional<TimePoint> confirmed_at;
      if (digest.confirmed_age_ms >= 0) {
        confirmed_at = asked_at - milliseconds(digest.confirmed_age_ms);
      }
      this->config.NotePeerVersion(digest.config_version, confirmed_at);
      const bool newer = digest.roster_version > this->membership.CurrentRoster()->Version() ||
                         digest.weights_version > this->weights_version;
      if (newer) this->head.RequestRead();
    };
    hooks.on_message = [this](const std::string& peer, const PeerMessage& message) {
      this->HandleMessage(peer, message);
    };
    return hooks;
  }

  Configuration::Hooks ConfigHooks() {
    Configuration::Hooks hooks;
    hooks.broadcast = [this](const PeerMessage& message, const std::string& except) {
      this->network.Broadcast(message, except);
    };
    hooks.send = [this](const std::string& peer, const PeerMessage& message) {
      return this->network.Send(peer, message);
    };
    hooks.in_contact = [this](TimePoint now) { return this->network.InContact(now); };
    hooks.seeds_in_contact = [this](TimePoint now) { return this->network.SeedsInContact(now); };
    hooks.has_majority = [this](TimePoint now) { return this->HasMajority(now); };
    hooks.on_change = [this] { CallAll(this->config_hooks); };
    return hooks;
  }

  MembersApi::Hooks MembersApiHooks() {
    MembersApi::Hooks hooks;
    hooks.state = [this] { return LifecycleStateName(this->lifecycle.Current()); };
    hooks.in_contact = [this](TimePoint now) { return this->network.InContact(now); };
    hooks.lease_remaining = [this](TimePoint now) { return this->membership.LeaseRemaining(now); };
    hooks.confirmed_age_ms = [this](TimePoint now) { return this->ConfirmedAgeMs(now); };
    return hooks;
  }

  int64_t ConfirmedAgeMs(TimePoint now) const {
    const auto age = this->config.ConfirmedAge(now);
    return age ? std::max<int64_t>(0, ToMillis(*age)) : -1;
  }

  void HandleHead(const Head& newest, TimePoint asked_at) {
    this->membership.RecordHead(newest, SteadyNow());
    this->config.RecordHead(newest.config_version, asked_at);
    if (newest.weights_version <= this->weights_version) return;
    this->weights_version = newest.weights_version;
    CallAll(this->weights_hooks);
  }

  void HandleMessage(const std::string& peer, const PeerMessage& message) {
    if (const auto* entries = std::get_if<ConfigEntriesMessage>(&message)) {
      this->config.Receive(peer, *entries);
    } else if (const auto* fetch = std::get_if<ConfigFetchMessage>(&message)) {
      this->config.Receive(peer, *fetch);
    } else if (const auto* snapshot = std::get_if<ConfigSnapshotMessage>(&message)) {
      this->config.Receive(peer, *snapshot);
    } else if (const auto* suspect = std::get_if<SuspectMessage>(&message)) {
      const auto hooks = this->suspect_hooks;
      for (const auto& hook : hooks) hook(suspect->fingerprint, suspect->deaths, suspect->ttl_ms);
    } else if (const auto* notify = std::get_if<NotifyMessage>(&message)) {
      if (notify->topic == kHeadTopic) this->head.RequestRead();
      const auto hooks = this->notify_hooks;
      for (const auto& hook : hooks) hook(notify->topic, notify->payload);
    }
  }

  // Updates the peers to connect to: the chosen peers, and the seeds of the settings while this
  // instance is not in the roster.
  void ChooseDestinations() {
    const auto roster = this->membership.CurrentRoster();
    std::vector<PeerNetwork::Destination> destinations;
    this->chosen_peers.clear();
    if (roster->Find(this->settings.InstanceId()) == nullptr) {
      for (const std::string& seed : this->settings.Seeds()) {
        if (seed != this->peer_address) destinations.push_back({"", seed});
      }
    }
    for (const Member& peer : ChoosePeers(*roster, this->settings.InstanceId())) {
      destinations.push_back({peer.Id(), peer.PeerAddress()});
      this->chosen_peers.insert(peer.Id());
    }
    this->network.SetDestinations(destinations);
  }

  // Whether this instance is in contact with more than half of its chosen peers and itself. The
  // chosen peers are the whole roster in a small cluster and a sample of it in a large one. An
  // instance outside the roster counts all members, or the seeds if it has read no roster yet.
  bool HasMajority(TimePoint now) const {
    const auto roster = this->membership.CurrentRoster();
    if (roster->Members().empty()) {
      return this->network.SeedsInContact(now).size() * 2 > this->settings.Seeds().size();
    }
    const auto contacts = this->network.InContact(now);
    const bool member = roster->Find(this->settings.InstanceId()) != nullptr;
    const auto counts = [&](const std::string& id) {
      return member ? this->chosen_peers.count(id) != 0 : roster->Find(id) != nullptr;
    };
    const auto reached = static_cast<std::size_t>(
        std::count_if(contacts.begin(), contacts.end(), counts) + (member ? 1 : 0));
    const std::size_t sample = member ? this->chosen_peers.size() + 1 : roster->Members().size();
    return reached * 2 > sample;
  }

  Result<void> MayServe(TimePoint now) const {
    const auto state = this->lifecycle.Current();
    // An instance that starts during an outage of the table service cannot join. It serves with the
    // configuration document fetched from the seeds.
    const bool joining = state == Lifecycle::State::kJoining && !this->config.StoreFailed();
    if (state == Lifecycle::State::kStarting || state == Lifecycle::State::kStopped || joining) {
      return Fail(ErrorCode::kNotReady, "the instance is not serving", LifecycleStateName(state));
    }
    return this->config.MayServe(now);
  }

  Settings settings;
  Lifecycle lifecycle;
  HeadWatcher head;
  Membership membership;
  PeerNetwork network;
  Configuration config;
  ConfigApi config_api;
  AddressDirectory directory;
  MembersApi members_api;
  std::string peer_address;
  std::set<std::string> chosen_peers;  // ids
  uint64_t weights_version = 0;
  std::vector<ChangeHook> roster_hooks;
  std::vector<ChangeHook> config_hooks;
  std::vector<ChangeHook> weights_hooks;
  std::vector<NotifyHook> notify_hooks;
  std::vector<SuspectHook> suspect_hooks;
};

ClusterNode::Builder& ClusterNode::Builder::SetSettings(Settings value) {
  this->settings = std::move(value);
  return *this;
}

ClusterNode::Builder& ClusterNode::Builder::SetHttpClient(HttpClient& value) {
  this->http = &value;
  return *this;
}

ClusterNode::Builder& ClusterNode::Builder::SetTable(TableClient& value) {
  this->table = &value;
  return *this;
}

ClusterNode::Builder& ClusterNode::Builder::SetMetrics(Metrics& value) {
  this->metrics = &value;
  return *this;
}

ClusterNode::Builder& ClusterNode::Builder::SetSeed(uint64_t value) {
  this->seed = value;
  return *this;
}

std::unique_ptr<ClusterNode> ClusterNode::Builder::Build() {
  ANVILCROFT_CHECK(this->table != nullptr && this->metrics != nullptr);
  return std::make_unique<ClusterNodeImpl>(*this);
}

}  // namespace anvilcroft
