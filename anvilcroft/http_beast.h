#ifndef ANVILCROFT_HTTP_BEAST_H_
#define ANVILCROFT_HTTP_BEAST_H_

// Conversions between HttpRequest and HttpResponse and the message types of Boost.Beast. Only for
// the HTTP client and server.

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "anvilcroft/http_request.h"
#include "anvilcroft/http_response.h"

namespace anvilcroft {

// Converts the header fields of a Beast message.
HttpHeaders FromBeast(const boost::beast::http::fields& fields);

// Converts a request that the server received.
HttpRequest FromBeast(const boost::beast::http::request<boost::beast::http::string_body>& message);

// Converts a request. Sets the Host header to `host` unless the request has one.
boost::beast::http::request<boost::beast::http::string_body> ToBeast(const HttpRequest& request,
                                                                     const std::string& host);

// Converts a response. `keep_alive` determines the Connection header.
boost::beast::http::response<boost::beast::http::string_body> ToBeast(const HttpResponse& response,
                                                                      bool keep_alive);

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_BEAST_H_
