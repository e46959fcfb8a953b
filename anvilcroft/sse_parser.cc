#include "anvilcroft/sse_parser.h"

#include <utility>

namespace anvilcroft {

std::string SseEvent::Extension(std::string_view name) const {
  for (const auto& [key, value] : this->extensions) {
    if (key == name) return value;
  }
  return "";
}

std::size_t SseParser::Size() const {
  return this->line.size() + this->event.type.size() + this->event.data.size() +
         this->event.id.size() + this->extension_bytes;
}

Result<std::vector<SseEvent>> SseParser::Feed(std::string_view piece) {
  std::vector<SseEvent> events;
  for (const char c : piece) {
    if (c == '\n') {
      this->ProcessLine(events);
      continue;
    }
    this->line += c;
    if (this->Size() > kMaxEventBytes) {
      return Fail(ErrorCode::kTooLarge, "an event of the stream is too large", "event");
    }
  }
  return events;
}

void SseParser::ProcessLine(std::vector<SseEvent>& events) {
  std::string_view text = this->line;
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  if (text.empty()) {
    // A block with neither data nor type is no event and is dropped.
    if (this->fields > 0) events.push_back(std::move(this->event));
    this->event = {};
    this->extension_bytes = 0;
    this->fields = 0;
    this->open = false;
  } else if (text.front() != ':') {  // a line that begins with a colon is a comment
    this->open = true;
    const std::size_t colon = std::min(text.find(':'), text.size());
    const std::string_view name = text.substr(0, colon);
    std::string_view value = text.substr(std::min(colon + 1, text.size()));
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    if (name == "data") {
      if (!this->event.data.empty()) this->event.data += '\n';
      this->event.data += value;
      ++this->fields;
    } else if (name == "event") {
      this->event.type = value;
      ++this->fields;
    } else if (name == "id") {
      this->event.id = value;
    } else if (name != "retry") {
      this->event.extensions.emplace_back(name, value);
      // A line of two bytes takes the memory of two strings.
      this->extension_bytes += sizeof(this->event.extensions[0]) + name.size() + value.size();
    }
  }
  this->line.clear();
}

std::string FormatSse(const std::string& data, const std::string& type) {
  const std::string head = type.empty() ? "" : "event: " + type + "\n";
  return head + "data: " + data + "\n\n";
}

}  // namespace anvilcroft
