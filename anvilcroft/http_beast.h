#ifndef ANVILCROFT_HTTP_BEAST_H_
#define ANVILCROFT_HTTP_BEAST_H_

// Conversions between this project's HTTP messages and Beast's. Included by the HTTP client and
// server only.

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "anvilcroft/http_request.h"
#include "anvilcroft/http_response.h"

namespace anvilcroft {

// The header fields of a Beast message.
HttpHeaders FromBeast(const boost::beast::http::fields& fields);

// A request as the server received it.
HttpRequest FromBeast(const boost::beast::http::request<boost::beast::http::string_body>& message);

// `host` becomes the Host field unless the request has one.
boost::beast::http::request<boost::beast::http::string_body> ToBeast(const HttpRequest& request,
                                                                     const std::string& host);

boost::beast::http::response<boost::beast::http::string_body> ToBeast(const HttpResponse& response,
                                                                      bool keep_alive);

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_BEAST_H_
