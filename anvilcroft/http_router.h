#ifndef ANVILCROFT_HTTP_ROUTER_H_
#define ANVILCROFT_HTTP_ROUTER_H_

// Dispatches HTTP requests to handlers by method and path pattern.
//
//   router.Add("POST", "/v1/services/{service}/{operation}",
//              [](Task& task, const HttpRequest& request, const PathParts& parts,
//                 HttpReply& reply) { ... parts.at("service") ... });
//
// An unknown path is answered with 404 not_found, a known path with another method with 404 too,
// naming the method. Each role registers its own handlers.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "anvilcroft/http_server.h"

namespace anvilcroft {

using PathParts = std::map<std::string, std::string>;
using RouteHandler = std::function<void(Task&, const HttpRequest&, const PathParts&, HttpReply&)>;

class HttpRouter {
 public:
  // `pattern` is a path whose segments are literal or "{name}"; a "{name}" matches one segment
  // that is not empty. Earlier patterns go first.
  void Add(std::string method, const std::string& pattern, RouteHandler handler);

  // Calls the matching handler or sends the 404.
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
