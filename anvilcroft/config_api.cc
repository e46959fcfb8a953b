#include "anvilcroft/config_api.h"

#include <algorithm>
#include <charconv>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

using nlohmann::json;

// Parses a decimal number in [1, INT64_MAX]. Returns 0 if `text` is anything else.
int64_t ParsePositive(const std::string& text) {
  int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return whole && value > 0 ? value : 0;
}

}  // namespace

void ConfigApi::RegisterRoutes(HttpRouter& router) {
  router.Add("POST", "/v1/config/patches",
             [this](Task& task, const HttpRequest& request, const PathParts&, HttpReply& reply) {
               reply.Send(task, this->Patch(task, request));
             });
  router.Add("GET", "/v1/config",
             [this](Task& task, const HttpRequest&, const PathParts&, HttpReply& reply) {
               reply.Send(task, this->Current());
             });
  router.Add("GET", "/v1/config/patches/{version}",
             [this](Task& task, const HttpRequest&, const PathParts& parts, HttpReply& reply) {
               reply.Send(task, this->Entry(task, parts.at("version")));
             });
}

HttpResponse ConfigApi::Patch(Task& task, const HttpRequest& request) {
  Duration limit = kPatchDeadline;
  if (const std::string header(request.Headers().Find("X-Deadline-Ms")); !header.empty()) {
    const int64_t millis = ParsePositive(header);
    if (millis == 0) {
      return ErrorResponse(
          Error{ErrorCode::kInvalidArgument, "must be a positive number", "X-Deadline-Ms"});
    }
    limit = std::min<Duration>(kMaxPatchDeadline,
                               milliseconds(std::min<int64_t>(millis, 24LL * 3600 * 1000)));
  }
  const auto body = ParseJson(request.Body());
  if (!body) return ErrorResponse(body.error());
  JsonFields fields(*body, "");
  ConfigEntry entry;
  entry.patch_id = fields.String("patch_id", 128);
  entry.base = static_cast<uint64_t>(fields.Integer("base", 0, INT64_MAX - 1));
  entry.author = fields.StringOr("author", "", 128);
  entry.patch = fields.Object("patch");
  fields.RejectUnknownFields();
  if (const auto read = fields.Finish(); !read) return ErrorResponse(read.error());
  const auto version = this->configuration.Accept(task, entry, SteadyNow() + limit);
  if (version) return JsonResponse(200, DumpJson({{"version", *version}}));
  if (version.error().code != ErrorCode::kStaleBase) return ErrorResponse(version.error());
  const Error& error = version.error();
  const json detail = {{"code", ErrorCodeName(error.code)},
                       {"message", error.message},
                       {"part", "base"},
                       {"ran", RanName(error.ran)},
                       {"version", ParsePositive(error.part)}};
  return HttpResponse::Builder()
      .SetStatus(HttpStatusOf(error.code))
      .SetHeader("X-Ran", RanName(error.ran))
      .SetJson(DumpJson({{"error", detail}}))
      .Build();
}

HttpResponse ConfigApi::Current() const {
  if (!this->configuration.Loaded()) {
    return ErrorResponse(Error{ErrorCode::kNotReady, "no configuration has been loaded yet", ""});
  }
  const auto document = this->configuration.Document();
  const auto age = this->configuration.ConfirmedAge(SteadyNow());
  json body = {{"version", document->Version()}, {"document", document->Json()}};
  body["confirmed_age_ms"] = age ? json(ToMillis(*age)) : json();
  return JsonResponse(200, DumpJson(body));
}

HttpResponse ConfigApi::Entry(Task& task, const std::string& version) {
  const int64_t number = ParsePositive(version);
  if (number == 0) {
    return ErrorResponse(
        Error{ErrorCode::kInvalidArgument, "must be a positive version number", version});
  }
  const auto entry = this->configuration.ReadEntry(task, static_cast<uint64_t>(number),
                                                   SteadyNow() + TableClient::kAttemptTimeout);
  if (!entry) return ErrorResponse(entry.error());
  return JsonResponse(200, DumpJson(EncodeConfigEntry(*entry)));
}

}  // namespace anvilcroft
