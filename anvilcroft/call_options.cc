#include "anvilcroft/call_options.h"

#include <utility>

namespace anvilcroft {

CallOptions CallOptions::WithFreshConnection() const {
  CallOptions copy = *this;
  copy.fresh_connection = true;
  return copy;
}

CallOptions CallOptions::WithResend() const {
  CallOptions copy = *this;
  copy.resend = true;
  return copy;
}

CallOptions CallOptions::WithCancellation(std::shared_ptr<Cancellation> cancellation) const {
  CallOptions copy = *this;
  copy.cancellation = std::move(cancellation);
  return copy;
}

CallOptions CallOptions::WithResponseField(std::string name, std::string value) const {
  CallOptions copy = *this;
  copy.response_field = {std::move(name), std::move(value)};
  return copy;
}

CallOptions CallOptions::WithRequestId(std::string id) const {
  CallOptions copy = *this;
  copy.request_id = std::move(id);
  return copy;
}

CallOptions CallOptions::WithMaxResponseBytes(std::size_t bytes) const {
  CallOptions copy = *this;
  copy.max_response_bytes = bytes;
  return copy;
}

CallOptions CallOptions::WithSendGuard(std::function<bool()> guard) const {
  CallOptions copy = *this;
  copy.send_guard = std::move(guard);
  return copy;
}

CallOptions CallOptions::WithConnectTimeout(Duration timeout) const {
  CallOptions copy = *this;
  copy.connect_timeout = timeout;
  return copy;
}

}  // namespace anvilcroft
