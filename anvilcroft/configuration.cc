#include "anvilcroft/configuration.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/head.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "config";

// Maximum bytes of entries in one message, with a margin below kMaxPeerMessageBytes.
constexpr std::size_t kMaxEntriesBytes = 768 << 10;
constexpr std::size_t kMaxEntriesPerMessage = 64;
// If more versions are missing, the whole document is read instead of the log.
constexpr uint64_t kMaxLogReads = 8;

}  // namespace

Configuration::Configuration(Runtime& runtime, TableClient& table, std::size_t seed_count,
                             Hooks hooks)
    : runtime(runtime), table(table), seed_count(seed_count), hooks(std::move(hooks)) {}

void Configuration::Start() {
  this->runtime.Spawn([this](Task& task) { this->CatchUp(task); });
}

void Configuration::Halt() {
  this->halted = true;
  this->changed->NotifyAll();
}

std::optional<Duration> Configuration::ConfirmedAge(TimePoint now) const {
  if (!this->confirmed_at) return std::nullopt;
  return now - *this->confirmed_at;
}

Result<void> Configuration::MayServe(TimePoint now) const {
  if (!this->loaded) return Fail(ErrorCode::kNotReady, "no configuration has been loaded yet");
  const auto age = this->ConfirmedAge(now);
  if ((age && *age <= kMaxConfirmationAge) || this->hooks.has_majority(now)) return {};
  return Fail(ErrorCode::kIsolated,
              "neither the table service nor a majority of the members can be reached");
}

void Configuration::RecordConfirmation(uint64_t version, TimePoint at) {
  if (version > this->document->Version()) {
    if (version > this->unapplied_version || at > this->unapplied_at) this->unapplied_at = at;
    this->unapplied_version = std::max(this->unapplied_version, version);
    return;
  }
  if (!this->confirmed_at || at > *this->confirmed_at) this->confirmed_at = at;
}

void Configuration::RecordHead(uint64_t version, TimePoint sent_at) {
  this->store_failed = false;
  this->NoteNewestVersion(version);
  this->RecordConfirmation(version, sent_at);
  if (version > this->document->Version() || this->loaded) return;
  this->loaded = true;
  this->changed->NotifyAll();
  this->hooks.on_change();
  this->ApplyPending();
}

void Configuration::NotePeerVersion(uint64_t version, std::optional<TimePoint> confirmed_at) {
  this->NoteNewestVersion(version);
  if (confirmed_at) this->RecordConfirmation(version, *confirmed_at);
}

void Configuration::NoteNewestVersion(uint64_t version) {
  if (version <= this->newest_known) return;
  this->newest_known = version;
  this->changed->NotifyAll();
}

void Configuration::Install(ConfigDocument next) {
  if (next.Version() <= this->document->Version()) return;
  this->document = std::make_shared<const ConfigDocument>(std::move(next));
  const uint64_t version = this->document->Version();
  this->NoteNewestVersion(version);
  this->pending.erase(this->pending.begin(), this->pending.upper_bound(version));
  // Kept entries must be consecutive up to the version in force. A whole document leaves a gap.
  if (!this->kept.empty() && this->kept.rbegin()->first != version) this->kept.clear();
  if (this->unapplied_version != 0 && this->unapplied_version <= version) {
    this->RecordConfirmation(this->unapplied_version, this->unapplied_at);
    this->unapplied_version = 0;
  }
  LogInfo(kPart, "applied a new configuration version", {{"version", std::to_string(version)}});
  this->changed->NotifyAll();
  this->hooks.on_change();
}

void Configuration::RetainEntry(const ConfigEntry& entry) {
  if (!this->kept.empty() && this->kept.rbegin()->first + 1 != entry.version) this->kept.clear();
  this->kept[entry.version] = entry;
  if (this->kept.size() > kMaxKept) this->kept.erase(this->kept.begin());
}

void Configuration::ApplyPending() {
  while (!this->pending.empty()) {
    const ConfigEntry entry = this->pending.begin()->second;
    if (entry.version > this->document->Version() + 1) return;
    this->pending.erase(this->pending.begin());
    if (entry.version <= this->document->Version()) continue;
    auto next = this->document->Apply(entry.patch, entry.version);
    if (!next) {
      // The accepting instance has other validation rules. The whole document is read instead.
      LogError(kPart, "cannot apply an accepted patch; the whole document will be read",
               {{"version", std::to_string(entry.version)}, {"error", next.error().message}});
      return;
    }
    this->RetainEntry(entry);
    this->Install(std::move(*next));
  }
}

void Configuration::CatchUp(Task& task) {
  constexpr Duration kPeerWait = milliseconds(300);
  constexpr Duration kPause = milliseconds(500);
  const std::shared_ptr<Event> event = this->changed;  // must outlive the waits of this task
  while (!this->halted) {
    const TimePoint now = SteadyNow();
    if (!this->loaded && this->store_failed) this->RequestSeedSnapshots(now);
    const uint64_t version = this->document->Version();
    if (version >= this->newest_known) {
      event->WaitUntil(task, now + kPause);
      continue;
    }
    if (this->loaded) {
      this->FetchFromPeer(now);
      while (!this->halted && this->document->Version() == version &&
             event->WaitUntil(task, now + kPeerWait)) {
      }
      if (this->document->Version() != version) continue;
    }
    if (!this->halted && !this->FetchFromStore(task)) SleepUntil(task, SteadyNow() + kPause);
  }
}

void Configuration::FetchFromPeer(TimePoint now) {
  const auto peers = this->hooks.in_contact(now);
  if (peers.empty()) return;
  const std::string& peer = peers[this->next_peer++ % peers.size()];
  this->hooks.send(peer, ConfigFetchMessage{this->document->Version(), false});
}

void Configuration::RequestSeedSnapshots(TimePoint now) {
  for (const std::string& seed : this->hooks.seeds_in_contact(now)) {
    this->hooks.send(seed, ConfigFetchMessage{this->document->Version(), true});
  }
}

bool Configuration::FetchFromStore(Task& task) {
  const TimePoint deadline = SteadyNow() + TableClient::kAttemptTimeout;
  const uint64_t first = this->document->Version() + 1;
  const uint64_t last = this->newest_known;
  if (last - first < kMaxLogReads) {
    for (uint64_t version = first; version <= last; ++version) {
      auto entry = this->ReadEntry(task, version, deadline);
      if (this->halted) return true;
      if (!entry) break;
      this->pending[version] = std::move(*entry);
      this->ApplyPending();
    }
    if (this->document->Version() >= last) {
      this->loaded = true;
      return true;
    }
  }
  const auto row = this->table.Read(task, kConfigTable, kConfigKey, deadline);
  if (this->halted) return true;
  if (!row || !*row) return false;
  JsonFields fields((*row)->value, "doc");
  const auto version = static_cast<uint64_t>(fields.Integer("version", 1, INT64_MAX));
  auto next = ConfigDocument::Decode(version, fields.Object("document"));
  if (!fields.Ok() || !next) {
    LogError(kPart, "cannot decode the configuration document in the table service");
    return false;
  }
  if (version < last) return false;
  this->loaded = true;
  this->Install(std::move(*next));
  return true;
}

Result<ConfigEntry> Configuration::ReadEntry(Task& task, uint64_t version, TimePoint deadline) {
  const auto row = this->table.Read(task, kConfigLogTable, ConfigLogKey(version), deadline);
  if (!row) return tl::unexpected<Error>(row.error());
  if (!*row) {
    return Fail(ErrorCode::kNotFound, "no such configuration version", std::to_string(version));
  }
  return DecodeConfigEntry((*row)->value);
}

void Configuration::Receive(const std::string& peer, const ConfigEntriesMessage& message) {
  ConfigEntriesMessage fresh;
  for (const ConfigEntry& entry : message.entries) {
    if (entry.version > this->newest_known) fresh.entries.push_back(entry);
    if (entry.version > this->document->Version() && this->pending.size() < kMaxKept) {
      this->pending[entry.version] = entry;
    }
    this->NoteNewestVersion(entry.version);
  }
  if (!this->loaded) return;  // pending entries are applied once a document is loaded
  if (!fresh.entries.empty()) this->hooks.broadcast(fresh, peer);
  this->ApplyPending();
}

void Configuration::Receive(const std::string& peer, const ConfigFetchMessage& message) {
  if (!this->loaded) return;
  const uint64_t version = this->document->Version();
  if (message.after >= version && !message.snapshot) return;
  const auto first = this->kept.find(message.after + 1);
  if (message.snapshot || first == this->kept.end()) {
    this->hooks.send(peer, ConfigSnapshotMessage{version, this->document->Json()});
    return;
  }
  ConfigEntriesMessage reply;
  std::size_t bytes = 0;
  for (auto at = first; at != this->kept.end(); ++at) {
    bytes += DumpJson(at->second.patch).size() + 512;
    if (bytes > kMaxEntriesBytes || reply.entries.size() >= kMaxEntriesPerMessage) break;
    reply.entries.push_back(at->second);
  }
  this->hooks.send(peer, reply);
}

void Configuration::Receive(const std::string& peer, const ConfigSnapshotMessage& message) {
  auto next = ConfigDocument::Decode(message.version, message.document);
  if (!next) {
    LogWarning(kPart, "ignoring a configuration snapshot that cannot be decoded",
               {{"instance", peer}});
    return;
  }
  if (this->loaded) {
    this->Install(std::move(*next));
    this->ApplyPending();
    return;
  }
  // Without the table service, a single seed may be out of date or partitioned. A majority of the
  // seeds includes one that was in contact when the newest version was accepted.
  const auto seeds = this->hooks.seeds_in_contact(SteadyNow());
  if (std::find(seeds.begin(), seeds.end(), peer) == seeds.end()) return;
  this->snapshots.insert_or_assign(peer, std::move(*next));
  if (this->snapshots.size() * 2 <= this->seed_count) return;
  const auto newest = std::max_element(
      this->snapshots.begin(), this->snapshots.end(),
      [](const auto& a, const auto& b) { return a.second.Version() < b.second.Version(); });
  LogWarning(
      kPart,
      "the table service is unavailable; loaded the configuration from a majority of the seeds",
      {{"version", std::to_string(newest->second.Version())}});
  this->loaded = true;
  if (newest->second.Version() > this->document->Version()) {
    this->Install(newest->second);
  } else {
    this->hooks.on_change();
  }
  this->snapshots.clear();
  this->ApplyPending();
}

}  // namespace anvilcroft
