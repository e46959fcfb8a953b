#include "anvilcroft/tcp_probe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {

Result<void> ProbeConnection(Task& task, const Endpoint& endpoint, TimePoint deadline) {
  namespace asio = boost::asio;
  boost::system::error_code failed;
  const auto ip = asio::ip::make_address(endpoint.ip, failed);
  if (failed) return Fail(ErrorCode::kConnectFailed, "malformed address", endpoint.ToString());
  boost::beast::tcp_stream stream(task.runtime.Impl().io);
  stream.expires_at(deadline);
  stream.async_connect(asio::ip::tcp::endpoint(ip, endpoint.port), task.yield[failed]);
  if (failed) return Fail(ErrorCode::kConnectFailed, failed.message(), endpoint.ToString());
  return {};
}

}  // namespace anvilcroft
