#include "anvilcroft/tcp_probe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {

namespace {

namespace asio = boost::asio;

boost::system::error_code Connect(Task& task, const Endpoint& endpoint, TimePoint deadline) {
  boost::system::error_code failed;
  const auto ip = asio::ip::make_address(endpoint.ip, failed);
  if (failed) return failed;
  boost::beast::tcp_stream stream(task.runtime.Impl().io);
  stream.expires_at(deadline);
  stream.async_connect(asio::ip::tcp::endpoint(ip, endpoint.port), task.yield[failed]);
  return failed;
}

}  // namespace

Result<void> ProbeConnection(Task& task, const Endpoint& endpoint, TimePoint deadline) {
  const boost::system::error_code failed = Connect(task, endpoint, deadline);
  if (failed) return Fail(ErrorCode::kConnectFailed, failed.message(), endpoint.ToString());
  return {};
}

bool RefusesConnections(Task& task, const Endpoint& endpoint, TimePoint deadline) {
  return Connect(task, endpoint, deadline) == asio::error::connection_refused;
}

}  // namespace anvilcroft
