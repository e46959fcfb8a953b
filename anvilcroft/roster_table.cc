#include "anvilcroft/roster_table.h"

#include <cstdlib>
#include <utility>

#include "anvilcroft/head.h"
#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxZones = 1000;
constexpr std::size_t kMaxMembersPerZone = 4096;
// Number of checks in a transaction that precede those of the caller: the head row and the zone's
// row.
constexpr int kRosterChecks = 2;

Result<std::vector<Member>> DecodeZone(const std::optional<Row>& row) {
  std::vector<Member> members;
  if (!row) return members;
  JsonFields fields(row->value, "roster");
  for (const json& item : fields.Array("members", kMaxMembersPerZone)) {
    auto member = DecodeMember(item);
    if (!member) return Fail(ErrorCode::kInternal, member.error().message, member.error().part);
    // The transaction that adds a member cannot contain its own version.
    if (member->Epoch() == 0) member = Member::Builder(*member).SetEpoch(row->version).Build();
    members.push_back(std::move(*member));
  }
  if (const auto read = fields.Finish(); !read) {
    return Fail(ErrorCode::kInternal, read.error().message, read.error().part);
  }
  return members;
}

bool ExtraCheckFailed(const Error& error) {
  const std::size_t comma = error.part.rfind(',');
  const std::string last = comma == std::string::npos ? error.part : error.part.substr(comma + 1);
  return std::atoi(last.c_str()) >= kRosterChecks;
}

}  // namespace

RosterTable::RosterTable(TableClient& table, uint64_t seed) : table(table), random(seed) {}

Result<std::vector<Member>> RosterTable::ReadAll(Task& task, TimePoint deadline) {
  const auto rows = this->table.Scan(task, kRosterTable, "", kMaxZones, deadline);
  if (!rows) return tl::unexpected<Error>(rows.error());
  std::vector<Member> all;
  for (const Row& row : *rows) {
    auto members = DecodeZone(row);
    if (!members) return tl::unexpected<Error>(members.error());
    all.insert(all.end(), members->begin(), members->end());
  }
  return all;
}

Result<std::vector<Member>> RosterTable::ReadZone(Task& task, const std::string& zone,
                                                  TimePoint deadline) {
  const auto row = this->table.Read(task, kRosterTable, zone, deadline);
  if (!row) return tl::unexpected<Error>(row.error());
  return DecodeZone(*row);
}

Result<bool> RosterTable::UpdateZone(Task& task, const std::string& zone, const Edit& edit,
                                     const Transaction& extra, TimePoint deadline) {
  constexpr Duration kMinPause = milliseconds(20);
  constexpr Duration kMaxPause = seconds(1);
  bool may_have_applied = false;
  Duration pause = kMinPause;
  while (true) {
    const auto changed = this->TryUpdateZone(task, zone, edit, extra, deadline);
    if (changed) return *changed || may_have_applied;
    const Error& error = changed.error();
    if (error.code == ErrorCode::kInternal) return changed;
    if (error.code == ErrorCode::kConflict && ExtraCheckFailed(error)) return changed;
    may_have_applied = may_have_applied || error.ran == Ran::kUnknown;
    const Duration jittered =
        std::uniform_int_distribution<Duration::rep>(0, pause.count())(this->random) * Duration(1);
    if (SteadyNow() + jittered >= deadline) {
      return Fail(ErrorCode::kStoreUnavailable, error.message, "",
                  may_have_applied ? Ran::kUnknown : Ran::kNo);
    }
    SleepUntil(task, SteadyNow() + jittered);
    pause = std::min<Duration>(pause * 2, kMaxPause);
  }
}

Result<bool> RosterTable::TryUpdateZone(Task& task, const std::string& zone, const Edit& edit,
                                        const Transaction& extra, TimePoint deadline) {
  const auto head_row = this->table.Read(task, kHeadTable, kHeadKey, deadline);
  if (!head_row) return tl::unexpected<Error>(head_row.error());
  const auto head = DecodeHead(*head_row);
  if (!head) return Fail(ErrorCode::kInternal, head.error().message, head.error().part);
  const auto row = this->table.Read(task, kRosterTable, zone, deadline);
  if (!row) return tl::unexpected<Error>(row.error());
  const auto members = DecodeZone(*row);
  if (!members) return tl::unexpected<Error>(members.error());
  const auto edited = edit(*members);
  if (!edited) return false;

  Head next = *head;
  ++next.roster_version;
  next.roster_zone = zone;
  json list = json::array();
  for (const Member& member : *edited) list.push_back(EncodeMember(member));
  const auto change = Transaction::Builder()
                          .CheckVersion(kHeadTable, kHeadKey, head->row_version)
                          .CheckVersion(kRosterTable, zone, *row ? (*row)->version : 0)
                          .Put(kHeadTable, kHeadKey, EncodeHead(next))
                          .Put(kRosterTable, zone, {{"members", std::move(list)}})
                          .Build();
  const auto committed = this->table.Commit(task, change.MergedWith(extra), deadline);
  if (!committed) return tl::unexpected<Error>(committed.error());
  return true;
}

}  // namespace anvilcroft
