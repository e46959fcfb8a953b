#include "anvilcroft/stream_origin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

constexpr int64_t kMaxTime = INT64_MAX / 2;

}  // namespace

std::string EncodeOrigin(const OriginRecord& record) {
  return DumpJson({{"service", record.origin.service},
                   {"software", record.origin.software},
                   {"expires_at", record.expires_at}});
}

Result<OriginRecord> DecodeOrigin(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "origin");
  OriginRecord record;
  record.origin.service = fields.String("service");
  record.origin.software = fields.StringOr("software", "");
  record.expires_at = fields.Integer("expires_at", 0, kMaxTime);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return record;
}

std::string EncodeDefaultSoftware(const DefaultSoftware& value) {
  return DumpJson({{"software", value.software}, {"since", value.since}});
}

Result<DefaultSoftware> DecodeDefaultSoftware(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "default software");
  DefaultSoftware decoded;
  decoded.software = fields.StringOr("software", "");
  decoded.since = fields.Integer("since", 0, kMaxTime);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return decoded;
}

bool IsImplied(const std::string& software, const std::optional<DefaultSoftware>& known,
               Duration stream_time, StoreMillis store_time) {
  return known && known->software == software && stream_time <= kMaxStreamTime &&
         store_time - known->since >= ToMillis(kDefaultSettled);
}

std::optional<std::string> NextDefaultSoftware(const std::optional<DefaultSoftware>& current,
                                               const std::map<std::string, std::size_t>& targets,
                                               Duration absent) {
  if (targets.empty()) return std::nullopt;
  if (current &&
      (targets.count(current->software) != 0 || absent < kMaxStreamTime + kDefaultSettled)) {
    return std::nullopt;
  }
  const auto most =
      std::max_element(targets.begin(), targets.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; });
  return most->first;
}

}  // namespace anvilcroft
