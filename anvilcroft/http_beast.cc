#include "anvilcroft/http_beast.h"

#include <boost/beast/http/fields.hpp>

namespace anvilcroft {

namespace http = boost::beast::http;

HttpHeaders FromBeast(const http::fields& fields) {
  std::vector<HttpHeaders::Field> list;
  for (const auto& field : fields) {
    list.emplace_back(field.name_string().to_string(), field.value().to_string());
  }
  return HttpHeaders(std::move(list));
}

http::request<BorrowedBody> ToBeast(const HttpRequest& request, const std::string& host) {
  http::request<BorrowedBody> message;
  message.method_string(request.Method());
  message.target(request.Target());
  message.version(11);
  for (const auto& [name, value] : request.Headers().Fields()) message.insert(name, value);
  if (request.Headers().Find("Host").empty()) message.set(http::field::host, host);
  message.body() = BorrowedBody::value_type(request.Body().data(), request.Body().size());
  message.prepare_payload();
  return message;
}

http::response<BorrowedBody> ToBeast(const HttpResponse& response, bool keep_alive) {
  http::response<BorrowedBody> message;
  message.result(static_cast<unsigned>(response.Status()));
  message.version(11);
  for (const auto& [name, value] : response.Headers().Fields()) message.insert(name, value);
  message.keep_alive(keep_alive);
  message.body() = BorrowedBody::value_type(response.Body().data(), response.Body().size());
  message.prepare_payload();
  return message;
}

}  // namespace anvilcroft
