#include "anvilcroft/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace anvilcroft {

std::string Endpoint::ToString() const {
  const bool v6 = this->ip.find(':') != std::string::npos;
  return (v6 ? "[" + this->ip + "]" : this->ip) + ":" + std::to_string(this->port);
}

Result<Endpoint> ParseEndpoint(const std::string& text) {
  const auto malformed = [&] {
    return Fail(ErrorCode::kInvalidArgument, "an address must be an IP address and a port", text);
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return malformed();
  // make_address ignores everything from the first zero byte on.
  if (text.find('\0') != std::string::npos) return malformed();
  std::string ip = text.substr(0, colon);
  if (ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);

  boost::system::error_code failed;
  boost::asio::ip::make_address(ip, failed);
  if (failed) return malformed();

  uint16_t port = 0;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(begin, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return malformed();
  return Endpoint{ip, port};
}

}  // namespace anvilcroft
