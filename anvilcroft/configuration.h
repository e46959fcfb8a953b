#ifndef ANVILCROFT_CONFIGURATION_H_
#define ANVILCROFT_CONFIGURATION_H_

// The configuration in force at this instance, and the acceptance of patches.
//
// A version is accepted by one transaction of the table service that writes the head row (head.h),
// the document and a log row. Other instances receive the accepted entry from a peer, or see the
// new version when they read the head row. Missing versions are fetched from a peer or from the
// table service, and applied in order. The version in force at an instance never decreases.
//
// A confirmation is a time at which the table service had no newer version than the one in force
// here. It comes from this instance's own reads of the head row, or from a peer's answer to a ping
// (the time at which the ping was sent, less the age in the answer).

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "anvilcroft/config_document.h"
#include "anvilcroft/config_entry.h"
#include "anvilcroft/error.h"
#include "anvilcroft/event.h"
#include "anvilcroft/peer_message.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/table_client.h"

namespace anvilcroft {

constexpr char kConfigTable[] = "config";
constexpr char kConfigKey[] = "doc";
constexpr char kConfigLogTable[] = "config_log";

class Configuration {
 public:
  // Maximum age of a confirmation that still counts as proof that the version is the newest.
  static constexpr Duration kMaxConfirmationAge = seconds(3);
  // Maximum number of recent entries held for peers that missed some. The same limit applies to the
  // pending entries.
  static constexpr std::size_t kMaxHeldEntries = 256;

  struct Hooks {
    std::function<void(const PeerMessage& message, const std::string& except)> broadcast;
    std::function<bool(const std::string& peer, const PeerMessage& message)> send;
    std::function<std::vector<std::string>(TimePoint now)> in_contact;  // ids of peers
    std::function<std::vector<std::string>(TimePoint now)> seeds_in_contact;
    // Whether this instance has contact with more than half of the members.
    std::function<bool(TimePoint now)> has_majority;
    std::function<void()> on_change;  // a new version is in force
  };

  // `seed_count` is the number of seeds in the settings.
  Configuration(Runtime& runtime, TableClient& table, std::size_t seed_count, Hooks hooks);

  void Start();

  // The document in force; empty, with version 0, until one is loaded.
  std::shared_ptr<const ConfigDocument> Document() const { return this->document; }

  // Whether a document was loaded from the table service or from a majority of the seeds.
  bool Loaded() const { return this->loaded; }

  // Whether the last read of the head row failed.
  bool StoreFailed() const { return this->store_failed; }

  // Time since the newest confirmation; nullopt if there was none.
  std::optional<Duration> ConfirmedAge(TimePoint now) const;

  // Succeeds if new work may be accepted. Fails with kNotReady if no document is loaded, and with
  // kIsolated if there is neither a recent confirmation nor contact with a majority of the members.
  Result<void> MayServe(TimePoint now) const;

  // Accepts `patch` (its base, patch_id, author and patch) and returns the new version. Repeating a
  // patch_id that was accepted on this base returns the same version. Errors: kNotReady, kIsolated,
  // kStaleBase (the part is the current version), kInvalidPatch, kTooLarge, kInternal if the head
  // row cannot be decoded, and kStoreUnavailable at the deadline (ran = unknown if the patch may
  // have been accepted).
  Result<uint64_t> Accept(Task& task, ConfigEntry patch, TimePoint deadline);

  // Reads the log row of `version`; fails with kNotFound or kStoreUnavailable.
  Result<ConfigEntry> ReadEntry(Task& task, uint64_t version, TimePoint deadline);

  // Handles a successful read of the head row, sent at `sent_at`, that returned the configuration
  // version `version`.
  void OnHeadRead(uint64_t version, TimePoint sent_at);
  // Handles a failed read of the head row.
  void OnHeadReadFailed() { this->store_failed = true; }

  // Handles a peer's report that it has `version`. `confirmed_at` is the time of the peer's newest
  // confirmation, if it has one.
  void OnPeerVersion(uint64_t version, std::optional<TimePoint> confirmed_at);

  void Receive(const std::string& peer, const ConfigEntriesMessage& message);
  void Receive(const std::string& peer, const ConfigFetchMessage& message);
  void Receive(const std::string& peer, const ConfigSnapshotMessage& message);

  // Stops all activity permanently.
  void Halt();

 private:
  // Fetches missing versions from peers and the table service until Halt(). While the table service
  // fails and no document is loaded, requests the documents of the seeds.
  void CatchUp(Task& task);
  // Reads missing versions from the table service. Returns false if they cannot be read now.
  bool FetchFromStore(Task& task);
  void FetchFromPeer(TimePoint now);
  void RequestSeedSnapshots(TimePoint now);
  void UpdateNewestKnown(uint64_t version);
  // Applies pending entries in order, up to the first missing version.
  void ApplyPending();
  // Puts `next` in force if it is newer than the current document.
  void Install(ConfigDocument next);
  void RetainEntry(const ConfigEntry& entry);
  void RecordConfirmation(uint64_t version, TimePoint at);
  Result<uint64_t> StaleBaseError() const;
  Result<uint64_t> Commit(Task& task, const ConfigEntry& entry, const ConfigDocument& next,
                          TimePoint deadline);
  // Returns the entry of `version` from the recent entries or else from the table service.
  Result<ConfigEntry> FindEntry(Task& task, uint64_t version, TimePoint deadline);
  bool WaitForVersion(Task& task, uint64_t version, TimePoint deadline);

  Runtime& runtime;
  TableClient& table;
  std::size_t seed_count;
  Hooks hooks;
  std::shared_ptr<const ConfigDocument> document = std::make_shared<const ConfigDocument>();
  bool loaded = false;
  bool store_failed = false;
  bool halted = false;
  uint64_t newest_known = 0;                        // newest version that is known to exist
  std::map<uint64_t, ConfigEntry> recent_entries;   // consecutive, up to the version in force
  std::map<uint64_t, ConfigEntry> pending;          // received before their predecessors
  std::map<std::string, ConfigDocument> snapshots;  // by seed
  std::optional<TimePoint> confirmed_at;
  // The newest confirmed version that is not in force here yet, and when it was confirmed.
  uint64_t unapplied_version = 0;
  TimePoint unapplied_at;
  std::size_t next_peer = 0;
  std::shared_ptr<Event> changed = std::make_shared<Event>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CONFIGURATION_H_
