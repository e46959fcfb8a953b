#ifndef ANVILCROFT_STREAM_SINK_H_
#define ANVILCROFT_STREAM_SINK_H_

// Receives the token events of a streamed request, in order and without gaps, even if several
// engines produced them. An error, for example because the reader has disconnected, ends the
// request. May be empty.

#include <functional>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

using StreamSink = std::function<Result<void>(Task&, const std::string& event_json)>;

}  // namespace anvilcroft

#endif  // ANVILCROFT_STREAM_SINK_H_
