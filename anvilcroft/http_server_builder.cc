#include <utility>

#include "anvilcroft/http_server.h"

namespace anvilcroft {

HttpServer::Builder& HttpServer::Builder::SetAddress(std::string address) {
  this->address = std::move(address);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::SetHandler(HttpHandler handler) {
  this->handler = std::move(handler);
  return *this;
}

HttpServer::Builder& HttpServer::Builder::SetMaxBodyBytes(std::size_t bytes) {
  this->max_body_bytes = bytes;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::SetMaxHeaderBytes(std::size_t bytes) {
  this->max_header_bytes = bytes;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::SetReadTimeout(Duration timeout) {
  this->read_timeout = timeout;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::SetWriteTimeout(Duration timeout) {
  this->write_timeout = timeout;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::SetIdleTimeout(Duration timeout) {
  this->idle_timeout = timeout;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::SetMaxConnections(std::size_t connections) {
  this->max_connections = connections;
  return *this;
}

HttpServer::Builder& HttpServer::Builder::SetBudget(std::shared_ptr<MemoryBudget> budget,
                                                    MemoryPool pool) {
  this->budget = std::move(budget);
  this->pool = pool;
  return *this;
}

}  // namespace anvilcroft
