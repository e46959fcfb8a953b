#ifndef ANVILCROFT_HTTP_ROUTER_H_
#define ANVILCROFT_HTTP_ROUTER_H_

// Dispatches HTTP requests to handlers by method and path pattern.
//
//   router.Add("POST", "/v1/services/{service}/{operation}",
//              [](Task& task, const HttpRequest& request, const PathParts& parts,
//                 HttpReply& reply) { ... parts.at("service") ... });
//
// An unknown path is answered with 404 not_found. So is a known path with a method that it does not
// support, with the method as the error's part. Each role registers its own handlers.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "anvilcroft/http_server.h"

namespace anvilcroft {

// Values of the "{name}" segments of a path, by name.
using PathParts = std::map<std::string, std::string>;
using RouteHandler = std::function<void(Task&, const HttpRequest&, const PathParts&, HttpReply&)>;

class HttpRouter {
 public:
  // Registers `handler`. `pattern` is a path whose segments are literal or "{name}", which matches
  // any one non-empty segment. Patterns are tried in the order in which they were added.
  void Add(std::string method, const std::string& pattern, RouteHandler handler);

  // Calls the first matching handler, or sends a 404 if there is none.
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply) const;

 private:
  struct Route {
    std::string method;
    std::vector<std::string> segments;
    RouteHandler handler;
  };

  std::vector<Route> routes;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_HTTP_ROUTER_H_
