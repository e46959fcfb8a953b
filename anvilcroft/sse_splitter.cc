#include "anvilcroft/sse_splitter.h"

#include <utility>

namespace anvilcroft {

Result<std::vector<SseSplitter::SplitEvent>> SseSplitter::Feed(std::string_view piece) {
  std::vector<SplitEvent> parts;
  for (const char c : piece) {
    this->block += c;
    if (this->block.size() > SseParser::kMaxEventBytes) {
      return Fail(ErrorCode::kTooLarge, "an event of the stream is too large", "event");
    }
    if (c != '\n') continue;
    std::string_view line = this->block;
    line.remove_prefix(this->line_begin);
    line.remove_suffix(1);
    this->line_begin = this->block.size();
    if (!line.empty() && line != "\r") continue;
    SseParser parser;
    auto events = parser.Feed(this->block);
    if (!events) return tl::unexpected<Error>(events.error());
    if (!events->empty()) parts.push_back({std::move(this->block), std::move(events->front())});
    this->block.clear();
    this->line_begin = 0;
  }
  return parts;
}

}  // namespace anvilcroft
