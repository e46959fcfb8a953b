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

}  // namespace anvilcroft
