#ifndef ANVILCROFT_HTTP_RESPONSE_H_
#define ANVILCROFT_HTTP_RESPONSE_H_

// An HTTP response with its whole body. Immutable; created by HttpResponse::Builder, by the
// functions below or by the client.

#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/http_headers.h"
#include "anvilcroft/limits/shared_body.h"

namespace anvilcroft {

class HttpResponse {
 public:
  class Builder;

  int Status() const { return this->status; }
  const HttpHeaders& Headers() const { return this->headers; }
  const std::string& Body() const { return this->body; }
  // The body as copies of this message share it.
  const SharedBody& Content() const { return this->body; }

  friend bool operator==(const HttpResponse& a, const HttpResponse& b) {
    return std::tie(a.status, a.headers, a.body) == std::tie(b.status, b.headers, b.body);
  }
  friend bool operator!=(const HttpResponse& a, const HttpResponse& b) { return !(a == b); }

 private:
  int status = 200;
  HttpHeaders headers;
  SharedBody body;
};

class HttpResponse::Builder {
 public:
  Builder& SetStatus(int status);
  Builder& SetHeaders(HttpHeaders headers);
  Builder& SetHeader(std::string name, std::string value);
  Builder& SetBody(SharedBody body);
  // Sets the body and the content type application/json.
  Builder& SetJson(std::string body);
  HttpResponse Build() const { return this->response; }

 private:
  HttpResponse response;
};

// A response with a JSON body.
HttpResponse JsonResponse(int status, std::string body);

// The standard error response: the body {"error": {code, message, part, ran}}, the status that
// corresponds to the code, and the header X-Ran.
HttpResponse ErrorResponse(const Error& error);

// The HTTP status that corresponds to `code`.
int HttpStatusOf(ErrorCode code);

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_RESPONSE_H_
