#ifndef ANVILCROFT_CONFIGURATION_H_
#define ANVILCROFT_CONFIGURATION_H_

// The configuration in force at this instance, and the acceptance of patches.
//
// A version is accepted by one transaction over the head, the document and a log row. Instances
// learn of it by a push from a peer and by reading the head; missing versions are fetched from a
// peer or from the table service, and applied in order. The version here only rises.
//
// A confirmation is a moment at which the table service is known to have had no newer version than
// the one in force here. It comes from this instance's own reads of the head, or from a peer's
// answer to a ping (the moment the ping was sent, less the age in the answer).

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
  // Age from which a confirmation no longer shows that the version is the newest.
  static constexpr Duration kMaxConfirmedAge = seconds(3);
  // Entries kept for peers that missed some.
  static constexpr std::size_t kMaxKept = 256;

  struct Hooks {
    std::function<void(const PeerMessage& message, const std::string& except)> broadcast;
    std::function<bool(const std::string& peer, const PeerMessage& message)> send;
    std::function<std::vector<std::string>(TimePoint now)> in_contact;  // ids of peers
    std::function<std::vector<std::string>(TimePoint now)> seeds_in_contact;
    // Whether this instance has contact with more than half of the members.
    std::function<bool(TimePoint now)> has_majority;
    std::function<void()> on_change;  // a new version is in force
  };

  // `seed_count`: number of seeds in the settings.
  Configuration(Runtime& runtime, TableClient& table, std::size_t seed_count, Hooks hooks);

  void Start();

  // The document in force; version 0 and empty until one is known.
  std::shared_ptr<const ConfigDocument> Document() const { return this->document; }

  // Whether a document is known, from the table service or from a majority of the seeds.
  bool Loaded() const { return this->loaded; }

  // Whether the newest read of the head failed.
  bool StoreFailed() const { return this->store_failed; }

  // Time since the newest confirmation; nullopt: never confirmed.
  std::optional<Duration> ConfirmedAge(TimePoint now) const;

  // Whether new work may be accepted: kNotReady without a document; kIsolated without a recent
  // confirmation and without contact with a majority.
  Result<void> MayServe(TimePoint now) const;

  // Accepts `patch` (its base, patch_id, author, patch) and returns the new version. A patch_id
  // that was accepted on this base before is accepted again. Errors: kNotReady, kIsolated,
  // kStaleBase (the part is the current version), kInvalidPatch, kTooLarge, kStoreUnavailable at
  // the deadline (ran = unknown if it may still be accepted).
  Result<uint64_t> Accept(Task& task, ConfigEntry patch, TimePoint deadline);

  // Reads the log row of `version`; fails with kNotFound or kStoreUnavailable.
  Result<ConfigEntry> ReadEntry(Task& task, uint64_t version, TimePoint deadline);

  // The head was read by a request sent at `asked_at`, or could not be read.
  void NoteHead(uint64_t version, TimePoint asked_at);
  void NoteHeadFailure() { this->store_failed = true; }

  // A peer has `version`, and the table service confirmed it at `confirmed_at`, if known.
  void NotePeer(uint64_t version, std::optional<TimePoint> confirmed_at);

  void Receive(const std::string& peer, const ConfigEntriesMessage& message);
  void Receive(const std::string& peer, const ConfigFetchMessage& message);
  void Receive(const std::string& peer, const ConfigSnapshotMessage& message);

  // Ends all activity for good.
  void Halt();

 private:
  void CatchUp(Task& task);
  bool FetchFromStore(Task& task);
  void FetchFromPeer(TimePoint now);
  void AskSeeds(TimePoint now);
  void Want(uint64_t version);
  void ApplyPending();
  void Adopt(ConfigDocument next);
  void Keep(const ConfigEntry& entry);
  void Confirm(uint64_t version, TimePoint at);
  Result<uint64_t> Stale() const;
  Result<uint64_t> Commit(Task& task, const ConfigEntry& entry, const ConfigDocument& next,
                          TimePoint deadline);
  // The entry of `version` from memory or else from the table service.
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
  uint64_t wanted = 0;                              // newest version known to exist
  std::map<uint64_t, ConfigEntry> kept;             // accepted entries, for peers
  std::map<uint64_t, ConfigEntry> pending;          // entries that wait for the ones before them
  std::map<std::string, ConfigDocument> snapshots;  // by seed
  std::optional<TimePoint> confirmed_at;
  // The newest confirmation of a version that is not in force here yet.
  uint64_t unmet_version = 0;
  TimePoint unmet_at;
  std::size_t next_peer = 0;
  std::shared_ptr<Event> changed = std::make_shared<Event>();
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CONFIGURATION_H_
