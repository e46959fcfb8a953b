#ifndef ANVILCROFT_SSE_SPLITTER_H_
#define ANVILCROFT_SSE_SPLITTER_H_

// Splits a stream of server-sent events into complete events without changing their bytes, so that
// they can be forwarded and an interrupted stream ends between two events.
//
// SseParser parses the same format without keeping the bytes.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/sse_parser.h"

namespace anvilcroft {

class SseSplitter {
 public:
  struct SplitEvent {
    std::string bytes;  // of the whole event, with the empty line that ends it
    SseEvent event;
  };

  // Takes the next piece and returns the events that it completes. Blocks without an event, such
  // as comments, are left out. Fails with kTooLarge beyond SseParser::kMaxEventBytes; the stream is
  // then unusable.
  Result<std::vector<SplitEvent>> Feed(std::string_view piece);

  // Whether the input ended between two events.
  bool AtBoundary() const { return this->block.empty(); }

 private:
  std::string block;           // bytes since the last event
  std::size_t line_begin = 0;  // start of the current line in `block`
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_SSE_SPLITTER_H_
