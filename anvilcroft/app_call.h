#ifndef ANVILCROFT_APP_CALL_H_
#define ANVILCROFT_APP_CALL_H_

// One call of an app engine or judge: the caller's body to the operation's path.

#include <string>

#include "anvilcroft/call_options.h"
#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/trace_context.h"

namespace anvilcroft {

struct AppCall {
  std::string path;
  std::string request_id;
  std::string idempotency_key;  // passed on for targets that deduplicate; may be empty
  std::string body;
  TraceContext trace;
  // App engines echo X-Request-Id; judges need not.
  bool id_required = true;
};

// Returns the whole response, of any status but the refusals below. Errors:
//   kConnectFailed, ran = no     no connection could be made
//   kLeaving, ran = no           the target answered 503 with the error code "leaving"; such a
//                                refusal need not carry the request's id
//   kConnectionLost, kDeadlineExceeded, kCancelled, ran = unknown
//   kBadResponse, ran = unknown  also: the response does not carry the request's own id
Result<HttpResponse> CallApp(Task& task, HttpClient& http, const Endpoint& endpoint,
                             const AppCall& call, const CallOptions& options);

}  // namespace anvilcroft

#endif  // ANVILCROFT_APP_CALL_H_
