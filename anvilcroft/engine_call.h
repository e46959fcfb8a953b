#ifndef ANVILCROFT_ENGINE_CALL_H_
#define ANVILCROFT_ENGINE_CALL_H_

// One model request at one engine. The output is always streamed from the engine, so that silence
// is noticed and a broken call leaves the tokens that came.
//
//   EngineOutput output;
//   EngineCall call(http, endpoint, call_id);
//   const auto end = call.Run(task, body, options, output, on_event);
//
// Each event must carry the id of this call and the next index. Events of another call, or with a
// gap, end the call: the tokens before them are kept in the output and another engine can resume.

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "anvilcroft/call_options.h"
#include "anvilcroft/endpoint.h"
#include "anvilcroft/engine_output.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/sse_parser.h"
#include "anvilcroft/trace_context.h"

namespace anvilcroft {

// How an engine ended a call.
struct EngineCallEnd {
  int status = 200;
  std::string body;       // of a response that refuses the request itself (4xx)
  bool has_load = false;  // whether the last event named the engine's load
  int64_t running = 0;
  int64_t waiting = 0;
};

// Called for each token event after it was added to the output. An error ends the call with that
// error.
using EngineEventHook = std::function<Result<void>(Task&, const nlohmann::json& event)>;

class EngineCall {
 public:
  // `call_id` identifies this call at the engine.
  EngineCall(HttpClient& http, Endpoint endpoint, std::string call_id, TraceContext trace);

  // Sends `body`, which names max_tokens, with the fields request_id, stream and resume_tokens set,
  // and appends the tokens to `output`. Errors:
  //   kConnectFailed, ran = no        no connection could be made
  //   kLeaving, ran = no              the engine refused; part is "leaving" or "swapping"
  //   kOverloaded, ran = no           the engine refused for another reason
  //   kConnectionLost, kDeadlineExceeded, kBadResponse, kCancelled, ran = unknown
  Result<EngineCallEnd> Run(Task& task, nlohmann::json body, const CallOptions& options,
                            EngineOutput& output, const EngineEventHook& on_event);

  // Asks the engine to drop the call. Best effort.
  static void SendCancel(Task& task, HttpClient& http, const Endpoint& endpoint,
                         const std::string& call_id);

 private:
  Result<std::optional<EngineCallEnd>> TakeEvent(Task& task, const SseEvent& event,
                                                 EngineOutput& output,
                                                 const EngineEventHook& on_event);
  Result<EngineCallEnd> TakeLastEvent(const nlohmann::json& event, EngineOutput& output);
  Result<EngineCallEnd> TakeRefusal(Task& task, HttpStream& stream);

  HttpClient& http;
  Endpoint endpoint;
  std::string call_id;
  TraceContext trace;
  int64_t max_tokens = 0;  // of the whole answer
  int64_t own_tokens = 0;
};

// The error of a refusal with status 503 or 429: kLeaving with part "leaving" or "swapping" if
// the body's error code says so, otherwise kOverloaded; ran = no.
Error RefusalOf(const std::string& body);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_CALL_H_
