#include "fakes/free_address.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace anvilcroft::fakes {
namespace {

constexpr int kFirstPort = 20000;
constexpr int kPorts = 10000;
// Processes that run at the same time begin at different ports.
constexpr int kPortsOfProcess = 64;

}  // namespace

std::string FreeAddress() {
  static int next = static_cast<int>(getpid()) * kPortsOfProcess;
  boost::asio::io_context context;
  while (true) {
    const int port = kFirstPort + next++ % kPorts;
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code taken;
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port)}, taken);
    if (!taken) return "127.0.0.1:" + std::to_string(port);
  }
}

}  // namespace anvilcroft::fakes
