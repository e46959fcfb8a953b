#ifndef ANVILCROFT_HTTP_REQUEST_H_
#define ANVILCROFT_HTTP_REQUEST_H_

// An HTTP request with its whole body. Immutable; created by HttpRequest::Builder or the server.

#include <map>
#include <string>
#include <tuple>

#include "anvilcroft/http_headers.h"
#include "anvilcroft/limits/shared_body.h"

namespace anvilcroft {

class HttpRequest {
 public:
  class Builder;
  using Query = std::map<std::string, std::string>;

  const std::string& Method() const { return this->method; }
  // The request target as in the request line, including the query.
  const std::string& Target() const { return this->target; }
  // The percent-decoded path without the query.
  const std::string& Path() const { return this->path; }
  // The value of a query parameter, percent-decoded, or "" if it is missing.
  std::string QueryValue(const std::string& name) const;
  const HttpHeaders& Headers() const { return this->headers; }
  const std::string& Body() const { return this->body; }
  // The body as copies of this message share it.
  const SharedBody& Content() const { return this->body; }

  friend bool operator==(const HttpRequest& a, const HttpRequest& b) {
    return std::tie(a.method, a.target, a.headers, a.body) ==
           std::tie(b.method, b.target, b.headers, b.body);
  }
  friend bool operator!=(const HttpRequest& a, const HttpRequest& b) { return !(a == b); }

 private:
  std::string method = "GET";
  std::string target = "/";
  std::string path = "/";
  Query query;
  HttpHeaders headers;
  SharedBody body;
};

class HttpRequest::Builder {
 public:
  Builder& SetMethod(std::string method);
  // Sets the target and splits it into path and query.
  Builder& SetTarget(const std::string& target);
  Builder& SetHeaders(HttpHeaders headers);
  Builder& SetHeader(std::string name, std::string value);
  // Sets the body only; the caller sets the Content-Type header.
  Builder& SetBody(SharedBody body);
  // Sets the body and the content type application/json.
  Builder& SetJson(std::string body);
  HttpRequest Build() const { return this->request; }

 private:
  HttpRequest request;
};

// Decodes %XX and, if `plus_is_space`, '+' as a space. Leaves a malformed escape unchanged.
std::string PercentDecode(const std::string& text, bool plus_is_space);

// Percent-encodes every byte outside the unreserved set of RFC 3986.
std::string PercentEncode(const std::string& text);

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_REQUEST_H_
