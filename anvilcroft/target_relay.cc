#include "anvilcroft/target_relay.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <utility>
#include <vector>

#include "anvilcroft/tcp_probe.h"

namespace anvilcroft {
namespace {

// Prefix of the fields that only the two instances exchange.
constexpr char kFieldPrefix[] = "Anvilcroft-Relay-";
constexpr char kStartField[] = "Anvilcroft-Relay-Started-At";    // of the target
constexpr char kTimeoutField[] = "Anvilcroft-Relay-Timeout-Ms";  // until the deadline
constexpr char kFreshField[] =
    "Anvilcroft-Relay-Fresh";  // a new connection to the target is needed
// Name and value, separated by a colon, of the field that the response must have.
constexpr char kResponseField[] = "Anvilcroft-Relay-Response-Field";
constexpr char kErrorField[] = "Anvilcroft-Relay-Error";  // of a response: the code of the error
constexpr char kPartField[] = "Anvilcroft-Relay-Part";
constexpr char kRanField[] = "Anvilcroft-Relay-Ran";  // whether the request ran
constexpr int kErrorStatus = 502;
constexpr int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;

constexpr const char* kConnectionFields[] = {"Connection", "Keep-Alive", "Transfer-Encoding",
                                             "Content-Length"};

// The fields of `headers` that concern neither a connection nor the two instances.
HttpHeaders RelayedHeaders(const HttpHeaders& headers) {
  std::vector<HttpHeaders::Field> relayed;
  for (const auto& field : headers.Fields()) {
    bool dropped = boost::algorithm::istarts_with(field.first, kFieldPrefix);
    for (const char* name : kConnectionFields) dropped |= boost::iequals(field.first, name);
    if (!dropped) relayed.push_back(field);
  }
  return HttpHeaders(std::move(relayed));
}

int64_t NumberOf(const HttpHeaders& headers, const char* name) {
  int64_t value = 0;
  return boost::conversion::try_lexical_convert(headers.Find(name), value) ? value : 0;
}

std::pair<std::string, std::string> SplitField(std::string_view field) {
  const std::size_t colon = field.find(':');
  if (colon == std::string_view::npos) return {};
  return {std::string(field.substr(0, colon)), std::string(field.substr(colon + 1))};
}

}  // namespace

Result<std::unique_ptr<HttpStream>> OpenRelayedStream(Task& task, HttpClient& http,
                                                      const RelayPeer& peer,
                                                      const TargetEntry& target,
                                                      const HttpRequest& message,
                                                      const CallOptions& options) {
  HttpHeaders headers =
      message.Headers()
          .With(TargetRelay::kTargetField, target.id)
          .With(kStartField, std::to_string(target.started_at))
          .With(kTimeoutField, std::to_string(ToMillis(options.Deadline() - SteadyNow())));
  if (options.FreshConnection()) headers = headers.With(kFreshField, "1");
  const auto& [name, value] = options.ResponseField();
  if (!name.empty()) headers = headers.With(kResponseField, name + ":" + value);
  auto stream = http.OpenStream(task, peer.address,
                                HttpRequest::Builder()
                                    .SetMethod(message.Method())
                                    .SetTarget(message.Target())
                                    .SetHeaders(std::move(headers))
                                    .SetBody(message.Content())
                                    .Build(),
                                options.WithConnectTimeout(TargetRelay::kConnectTimeout));
  if (!stream) {
    if (stream.error().code != ErrorCode::kConnectFailed) return stream;
    return Fail(ErrorCode::kIsolated, "the relaying instance cannot be reached", peer.instance);
  }
  const HttpHeaders& answer = (*stream)->Headers();
  const std::string error(answer.Find(kErrorField));
  if (error.empty()) return stream;
  return Fail(ParseErrorCode(error).value_or(ErrorCode::kInternal),
              "the relaying instance reports an error", std::string(answer.Find(kPartField)),
              answer.Find(kRanField) == RanName(Ran::kNo) ? Ran::kNo : Ran::kUnknown);
}

bool PeerFailed(const Error& error) {
  return error.code == ErrorCode::kIsolated ||
         (error.code == ErrorCode::kConnectionLost && error.part.empty());
}

void TargetRelay::Handle(Task& task, const HttpRequest& request, HttpReply& reply) {
  const HttpHeaders& headers = request.Headers();
  const auto [name, value] = SplitField(headers.Find(kResponseField));
  const auto fail = [&, &name = name, &value = value](const Error& error) {
    HttpResponse::Builder answer;
    answer.SetStatus(kErrorStatus)
        .SetHeader(kErrorField, ErrorCodeName(error.code))
        .SetHeader(kPartField, error.part)
        .SetHeader(kRanField, RanName(error.ran));
    if (!name.empty()) answer.SetHeader(name, value);
    reply.Send(task, answer.Build());
  };
  const auto target =
      this->find_target(std::string(headers.Find(kTargetField)), NumberOf(headers, kStartField));
  if (!target) return fail({ErrorCode::kNotFound, "no such target", "", Ran::kNo});
  if (this->cut_off()) return fail({ErrorCode::kIsolated, "no path to targets", "", Ran::kNo});
  const int64_t timeout_ms =
      std::min(std::max<int64_t>(0, NumberOf(headers, kTimeoutField)), kMaxTimeoutMs);
  CallOptions options =
      CallOptions(SteadyNow() + milliseconds(timeout_ms), milliseconds(timeout_ms))
          .WithConnectTimeout(kConnectTimeout)
          .WithCancellation(reply.CallerDisconnected());
  if (!name.empty()) options = options.WithResponseField(name, value).WithRequestId(value);
  if (!headers.Find(kFreshField).empty()) options = options.WithFreshConnection();
  const auto stream = this->open(task, *target,
                                 HttpRequest::Builder()
                                     .SetMethod(request.Method())
                                     .SetTarget(request.Target())
                                     .SetHeaders(RelayedHeaders(headers))
                                     .SetBody(request.Content())
                                     .Build(),
                                 options);
  if (!stream) {
    if (stream.error().code != ErrorCode::kConnectionLost) return fail(stream.error());
    const bool ended = RefusesConnections(task, target->address, SteadyNow() + kConnectTimeout);
    return fail(stream.error().WithPart(ended ? kTargetEnded : kTargetNotEnded));
  }
  if (!reply.BeginStream(task, (*stream)->Status(), RelayedHeaders((*stream)->Headers()))) return;
  bool empty = true;
  while (true) {
    const auto piece = (*stream)->Read(task);
    if (!piece) return reply.Abort();
    if (!*piece) break;
    empty = false;
    if (!reply.Write(task, **piece)) return;
  }
  // The relayed response marks its end, so it must not pass off a missing body as an empty one.
  if (empty && !(*stream)->EndIsMarked()) return reply.Abort();
  reply.End(task);
}

}  // namespace anvilcroft
