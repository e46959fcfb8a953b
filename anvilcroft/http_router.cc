#include "anvilcroft/http_router.h"

#include <optional>
#include <utility>

namespace anvilcroft {
namespace {

std::vector<std::string> Split(const std::string& path) {
  std::vector<std::string> segments;
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    segments.push_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return segments;
}

bool IsParameter(const std::string& segment) {
  return segment.size() > 2 && segment.front() == '{';
}

// Matches the segments of an undecoded path. Segments are decoded only after the split, so that an
// encoded slash stays part of its segment.
std::optional<PathParts> Match(const std::vector<std::string>& pattern,
                               const std::vector<std::string>& path) {
  if (pattern.size() != path.size()) return std::nullopt;
  PathParts parts;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    const std::string segment = PercentDecode(path[i], false);
    if (IsParameter(pattern[i])) {
      if (segment.empty()) return std::nullopt;
      parts[pattern[i].substr(1, pattern[i].size() - 2)] = segment;
    } else if (pattern[i] != segment) {
      return std::nullopt;
    }
  }
  return parts;
}

}  // namespace

void HttpRouter::Add(std::string method, const std::string& pattern, RouteHandler handler) {
  this->routes.push_back(Route{std::move(method), Split(pattern), std::move(handler)});
}

void HttpRouter::Handle(Task& task, const HttpRequest& request, HttpReply& reply) const {
  const auto path = Split(request.Target().substr(0, request.Target().find('?')));
  bool path_known = false;
  for (const Route& route : this->routes) {
    const auto parts = Match(route.segments, path);
    if (!parts) continue;
    path_known = true;
    if (route.method != request.Method()) continue;
    route.handler(task, request, *parts, reply);
    return;
  }
  reply.Send(task, ErrorResponse(
                       Error{ErrorCode::kNotFound,
                             path_known ? "the path does not support this method" : "no such path",
                             path_known ? request.Method() : request.Path(), Ran::kNo}));
}

}  // namespace anvilcroft
