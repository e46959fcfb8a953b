#include "anvilcroft/permit_message.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

constexpr double kMaxPerSecond = 1e9;
constexpr int64_t kMaxMillis = 24LL * 3600 * 1000;
constexpr int64_t kMaxTime = INT64_MAX / 2;

std::string ToCbor(const json& value) {
  const std::vector<std::uint8_t> bytes = json::to_cbor(value);
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

std::string EncodePermitRequest(const PermitRequest& request) {
  json value = {{"target", request.target},        {"started_at", request.started_at},
                {"age_ms", ToMillis(request.age)}, {"wanted", request.wanted},
                {"standby", request.standby},      {"max_wait_ms", ToMillis(request.max_wait)}};
  if (request.per_second) value["per_second"] = *request.per_second;
  return ToCbor(value);
}

Result<PermitRequest> DecodePermitRequest(const std::string& value) {
  const auto parsed = ParseCbor(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "permit request");
  PermitRequest request;
  request.target = fields.String("target");
  request.started_at = fields.Integer("started_at", 0, kMaxTime);
  const double per_second = fields.NumberOr("per_second", -1, 0, kMaxPerSecond);
  if (per_second >= 0) request.per_second = per_second;
  request.age = milliseconds(fields.Integer("age_ms", 0, kMaxMillis));
  request.wanted = fields.BoolOr("wanted", true);
  request.standby = fields.BoolOr("standby", false);
  request.max_wait = milliseconds(fields.Integer("max_wait_ms", 0, kMaxMillis));
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return request;
}

std::string EncodePermitAnswer(const PermitAnswer& answer) {
  return ToCbor({{"granted", answer.granted}, {"wait_ms", ToMillis(answer.wait)}});
}

Result<PermitAnswer> DecodePermitAnswer(const std::string& value) {
  const auto parsed = ParseCbor(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "permit answer");
  PermitAnswer answer;
  answer.granted = fields.BoolOr("granted", false);
  answer.wait = milliseconds(fields.Integer("wait_ms", 0, kMaxMillis));
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return answer;
}

std::string EncodeLimitRow(const LimitRow& row) {
  return DumpJson(
      {{"started_at", row.started_at}, {"per_second", row.per_second}, {"said_at", row.said_at}});
}

Result<LimitRow> DecodeLimitRow(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "limit");
  LimitRow row;
  row.started_at = fields.Integer("started_at", 0, kMaxTime);
  row.per_second = fields.NumberOr("per_second", 0, 0, kMaxPerSecond);
  row.said_at = fields.Integer("said_at", 0, kMaxTime);
  if (const auto read = fields.Finish(); !read) return tl::unexpected<Error>(read.error());
  return row;
}

}  // namespace anvilcroft
