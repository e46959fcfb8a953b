#ifndef ANVILCROFT_APP_CALL_H_
#define ANVILCROFT_APP_CALL_H_

// One call to an app engine or judge: posts the caller's body to the operation's path.

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
  std::string idempotency_key;  // forwarded to targets that deduplicate; may be empty
  std::string body;
  TraceContext trace;
  // App engines echo X-Request-Id; judges need not.
  bool id_required = true;
};

// Returns the complete response, whatever its status, except for the refusals below. Errors:
//   kConnectFailed, ran = no     the connection could not be established
//   kLeaving, ran = no           the target responded with 503 and the error code "leaving" or
//                                "swapping"; such a response need not carry the request's id
//   kConnectionLost, kDeadlineExceeded, kCancelled, ran = unknown
//   kBadResponse, ran = unknown  the response is malformed, carries another request id, or carries
//                                none although id_required is set
Result<HttpResponse> CallApp(Task& task, HttpClient& http, const Endpoint& endpoint,
                             const AppCall& call, const CallOptions& options);

}  // namespace anvilcroft

#endif  // ANVILCROFT_APP_CALL_H_
