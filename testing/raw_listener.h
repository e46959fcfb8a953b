#ifndef TESTING_RAW_LISTENER_H_
#define TESTING_RAW_LISTENER_H_

// Accepts connections on a loopback port and runs a script on each, for peers that send what no
// HTTP server sends. `runtime` must not run after the listener is destroyed.

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/runtime_impl.h"

namespace anvilcroft::testing {

class RawListener {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Script = std::function<void(Task&, Socket&)>;

  RawListener(Runtime& runtime, Script script)
      : runtime(runtime),
        script(std::move(script)),
        acceptor(runtime.Impl().io, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    this->runtime.Spawn([this](Task& task) {
      boost::system::error_code failed;
      while (!failed) {
        auto socket = std::make_shared<Socket>(this->runtime.Impl().io);
        this->acceptor.async_accept(*socket, task.yield[failed]);
        if (failed) return;
        ++this->connections;
        this->runtime.Spawn([this, socket](Task& inner) { this->script(inner, *socket); });
      }
    });
  }

  Endpoint Address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }
  int Connections() const { return this->connections; }

 private:
  Runtime& runtime;
  Script script;
  boost::asio::ip::tcp::acceptor acceptor;
  int connections = 0;
};

}  // namespace anvilcroft::testing

#endif  // TESTING_RAW_LISTENER_H_
