// The part of Configuration that accepts patches and writes them to the table service.

#include <utility>

#include "anvilcroft/configuration.h"
#include "anvilcroft/head.h"
#include "anvilcroft/json.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "config";

}  // namespace

Result<uint64_t> Configuration::StaleBaseError() const {
  return Fail(ErrorCode::kStaleBase, "the base is not the current version",
              std::to_string(this->document->Version()));
}

bool Configuration::WaitForVersion(Task& task, uint64_t version, TimePoint deadline) {
  const std::shared_ptr<Event> event = this->changed;  // must outlive the waits of this task
  while (!this->halted && this->document->Version() < version) {
    if (!event->WaitUntil(task, deadline)) break;
  }
  return this->document->Version() >= version;
}

Result<ConfigEntry> Configuration::FindEntry(Task& task, uint64_t version, TimePoint deadline) {
  const auto found = this->recent_entries.find(version);
  if (found != this->recent_entries.end()) return found->second;
  return this->ReadEntry(task, version, deadline);
}

Result<uint64_t> Configuration::Accept(Task& task, ConfigEntry patch, TimePoint deadline) {
  constexpr Duration kMaxBaseWait = seconds(2);
  if (!this->loaded) return Fail(ErrorCode::kNotReady, "no configuration has been loaded yet");
  if (!this->hooks.has_majority(SteadyNow())) {
    return Fail(ErrorCode::kIsolated, "no contact with a majority of the members");
  }
  if (DumpJson(patch.patch).size() > ConfigEntry::kMaxPatchBytes) {
    return Fail(ErrorCode::kTooLarge, "the patch is too large", "patch");
  }
  patch.version = patch.base + 1;
  patch.at_ms = WallNow();
  if (patch.base > this->document->Version()) {
    // The author based the patch on a version that has not reached this instance yet.
    this->WaitForVersion(task, patch.base, std::min(deadline, SteadyNow() + kMaxBaseWait));
  }
  if (patch.base != this->document->Version()) {
    // An author that did not receive the answer submits the patch again with the same patch_id.
    // This succeeds if the patch was accepted, even if this instance does not have the new version
    // yet.
    const auto entry = this->FindEntry(task, patch.version, deadline);
    if (!entry && entry.error().code != ErrorCode::kNotFound) {
      // The log row cannot be read. An earlier submission of the patch may have been accepted, so
      // the outcome is unknown.
      return tl::unexpected<Error>(entry.error().WithRan(Ran::kUnknown));
    }
    if (entry && entry->patch_id == patch.patch_id) return patch.version;
    return this->StaleBaseError();
  }
  const auto next = this->document->Apply(patch.patch, patch.version);
  if (!next) return tl::unexpected<Error>(next.error());
  const auto version = this->Commit(task, patch, *next, deadline);
  if (!version) return version;
  LogInfo(kPart, "accepted a patch",
          {{"version", std::to_string(*version)}, {"author", patch.author}});
  this->hooks.broadcast(ConfigEntriesMessage{{patch}}, "");
  this->pending[patch.version] = patch;
  this->ApplyPending();
  return version;
}

// Retries the commit until its outcome is known or the deadline passes. The transaction checks the
// version of the head row, which it also writes, so a retry cannot apply it twice.
Result<uint64_t> Configuration::Commit(Task& task, const ConfigEntry& entry,
                                       const ConfigDocument& next, TimePoint deadline) {
  constexpr Duration kPause = milliseconds(100);
  bool may_have_applied = false;
  std::string failure = "the deadline passed before the patch was accepted";
  for (; SteadyNow() < deadline; SleepUntil(task, SteadyNow() + kPause)) {
    const auto row = this->table.Read(task, kHeadTable, kHeadKey, deadline);
    if (!row) {
      failure = row.error().message;
      continue;
    }
    const auto head = DecodeHead(*row);
    if (!head) return Fail(ErrorCode::kInternal, head.error().message, head.error().part);
    if (head->config_version != entry.base) {
      const auto accepted = this->ReadEntry(task, entry.version, deadline);
      if (accepted && accepted->patch_id == entry.patch_id) return entry.version;
      if (accepted || head->config_version < entry.base) {
        this->UpdateNewestKnown(head->config_version);
        return this->StaleBaseError();
      }
      failure = accepted.error().message;
      continue;
    }
    if (!this->hooks.has_majority(SteadyNow())) {
      failure = "no contact with a majority of the members";
      continue;
    }
    Head next_head = *head;
    next_head.config_version = entry.version;
    const auto change =
        Transaction::Builder()
            .CheckVersion(kHeadTable, kHeadKey, head->row_version)
            .Put(kHeadTable, kHeadKey, EncodeHead(next_head))
            .Put(kConfigTable, kConfigKey, {{"version", next.Version()}, {"document", next.Json()}})
            .Put(kConfigLogTable, ConfigLogKey(entry.version), EncodeConfigEntry(entry))
            .Build();
    const auto committed = this->table.Commit(task, change, deadline);
    if (committed) return entry.version;
    failure = committed.error().message;
    may_have_applied = may_have_applied || committed.error().ran == Ran::kUnknown;
  }
  return Fail(ErrorCode::kStoreUnavailable, failure, "",
              may_have_applied ? Ran::kUnknown : Ran::kNo);
}

}  // namespace anvilcroft
