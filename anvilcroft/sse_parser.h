#ifndef ANVILCROFT_SSE_PARSER_H_
#define ANVILCROFT_SSE_PARSER_H_

// Parses server-sent events from a body that arrives in pieces of any size.

#include <cstddef>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "anvilcroft/error.h"

namespace anvilcroft {

struct SseEvent {
  std::string type;     // field "event"; empty if the event has none
  std::string data;     // lines of field "data", joined by line feeds
  std::string id = {};  // field "id"; empty if the event has none
  // Fields that the standard does not define, in order of arrival.
  std::vector<std::pair<std::string, std::string>> extensions = {};

  // The value of the extension field `name`, or "" if there is none.
  std::string Extension(std::string_view name) const;

  friend bool operator==(const SseEvent& a, const SseEvent& b) {
    return std::tie(a.type, a.data, a.id, a.extensions) ==
           std::tie(b.type, b.data, b.id, b.extensions);
  }
};

class SseParser {
 public:
  // Maximum size of an event in bytes, with the memory that its extension fields take.
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Takes the next piece of the stream and returns the events that it completes. Fails with
  // kTooLarge if an event exceeds kMaxEventBytes; the parser can't be used after that.
  Result<std::vector<SseEvent>> Feed(std::string_view piece);

  // Whether the input ended between two events.
  bool AtBoundary() const { return this->line.empty() && !this->open; }

 private:
  // Memory that the event and the line being read take, in bytes.
  std::size_t Size() const;
  void ProcessLine(std::vector<SseEvent>& events);

  std::string line;
  SseEvent event;
  std::size_t extension_bytes = 0;  // memory of event.extensions
  int fields = 0;                   // data and event fields read into `event`
  bool open = false;                // a field of an event has been read, but not yet its end
};

// Serializes one event; `data` must not contain a line break.
std::string FormatSse(const std::string& data, const std::string& type = "");

}  // namespace anvilcroft

#endif  // ANVILCROFT_SSE_PARSER_H_
