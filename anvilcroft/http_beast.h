#ifndef ANVILCROFT_HTTP_BEAST_H_
#define ANVILCROFT_HTTP_BEAST_H_

// Conversions between HttpRequest and HttpResponse and the message types of Boost.Beast. Only for
// the HTTP client and server.

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <string>

#include "anvilcroft/http_request.h"
#include "anvilcroft/http_response.h"

namespace anvilcroft {

// Converts the header fields of a Beast message.
HttpHeaders FromBeast(const boost::beast::http::fields& fields);

// A body that refers to the text of an HttpRequest or HttpResponse, which must outlive it.
using BorrowedBody = boost::beast::http::span_body<const char>;

// Converts a request, whose body is not copied. Sets the Host header to `host` unless the request
// has one.
boost::beast::http::request<BorrowedBody> ToBeast(const HttpRequest& request,
                                                  const std::string& host);

// Converts a response, whose body is not copied. `keep_alive` determines the Connection header.
boost::beast::http::response<BorrowedBody> ToBeast(const HttpResponse& response, bool keep_alive);

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_BEAST_H_
