#include "fakes/free_address.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <utility>

namespace anvilcroft::fakes {
namespace {

namespace asio = boost::asio;

constexpr int kFirstPort = 20000;
constexpr int kPorts = 10000;
// Processes that run at the same time begin at different ports.
constexpr int kPortsOfProcess = 64;

}  // namespace

std::string FreeAddress() {
  static int next = static_cast<int>(getpid()) * kPortsOfProcess;
  static asio::io_context context;
  // Sockets that are bound and do not listen. Other processes cannot bind their ports, and
  // connections to them are refused.
  static std::list<asio::ip::tcp::socket> reserved;
  while (true) {
    const int port = kFirstPort + next++ % kPorts;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code failed;
    socket.open(asio::ip::tcp::v4());
    socket.bind({asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port)}, failed);
    if (!failed) socket.set_option(asio::socket_base::reuse_address(true), failed);
    if (failed) continue;
    reserved.push_back(std::move(socket));
    return "127.0.0.1:" + std::to_string(port);
  }
}

}  // namespace anvilcroft::fakes
