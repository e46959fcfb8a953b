#ifndef ANVILCROFT_STREAM_SINK_H_
#define ANVILCROFT_STREAM_SINK_H_

// Where the token events of a streamed request go, in order and without gaps, also when several
// engines produced them. An error (the reader is gone) ends the request. May be empty.

#include <functional>
#include <string>

#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

using StreamSink = std::function<Result<void>(Task&, const std::string& event_json)>;

}  // namespace anvilcroft

#endif  // ANVILCROFT_STREAM_SINK_H_
