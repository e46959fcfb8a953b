#ifndef ANVILCROFT_ENGINE_CALL_H_
#define ANVILCROFT_ENGINE_CALL_H_

// One call to a model engine. The output is always streamed from the engine, so that a stalled call
// is detected and a broken one keeps the tokens received so far.
//
//   EngineOutput output;
//   EngineCall call(http, endpoint, call_id, trace);
//   const auto end = call.Run(task, body, options, output, on_event);
//
// Each event must carry the id of this call and the next token index. An event of another call or
// with a wrong index ends the call with an error; the tokens before it stay in the output, from
// which another engine can resume.

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
  std::string body;       // of a 4xx response, which rejects the request
  bool has_load = false;  // whether the last event reported the engine's load
  int64_t running = 0;    // requests that the engine is running
  int64_t waiting = 0;    // requests in the engine's queue
};

// Called for each token event after it was added to the output. An error ends the call with that
// error.
using EngineEventHook = std::function<Result<void>(Task&, const nlohmann::json& event)>;

class EngineCall {
 public:
  // `call_id` identifies this call at the engine.
  EngineCall(HttpClient& http, Endpoint endpoint, std::string call_id, TraceContext trace);

  // Sends `body` with the fields request_id, stream and resume_tokens set, and appends the tokens
  // to `output`. The field max_tokens of `body` limits the whole output, including the tokens that
  // are resumed from. Errors:
  //   kConnectFailed, ran = no        the connection could not be established
  //   kLeaving, ran = no              the engine refused; part is "leaving" or "swapping"
  //   kOverloaded, ran = no           the engine refused for another reason
  //   kConnectionLost, kDeadlineExceeded, kBadResponse, kCancelled, ran = unknown
  Result<EngineCallEnd> Run(Task& task, nlohmann::json body, const CallOptions& options,
                            EngineOutput& output, const EngineEventHook& on_event);

  // Asks the engine to cancel the call. Best effort: errors are ignored.
  static void SendCancel(Task& task, HttpClient& http, const Endpoint& endpoint,
                         const std::string& call_id);

 private:
  Result<std::optional<EngineCallEnd>> HandleEvent(Task& task, const SseEvent& event,
                                                   EngineOutput& output,
                                                   const EngineEventHook& on_event);
  Result<EngineCallEnd> HandleLastEvent(const nlohmann::json& event, EngineOutput& output);
  Result<EngineCallEnd> ReadErrorResponse(Task& task, HttpStream& stream);

  HttpClient& http;
  Endpoint endpoint;
  std::string call_id;
  TraceContext trace;
  int64_t max_tokens = 0;   // of the whole output
  int64_t call_tokens = 0;  // tokens received in this call
};

// Returns the error for a response with status 503 or 429 and this body: kLeaving if the error code
// in the body is "leaving" or "swapping", otherwise kOverloaded. The error's part is that code, and
// ran = no.
Error ParseRefusal(const std::string& body);

}  // namespace anvilcroft

#endif  // ANVILCROFT_ENGINE_CALL_H_
