#include "anvilcroft/line_sink.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace anvilcroft {

LineSink::int_type LineSink::overflow(int_type c) {
  if (c != traits_type::eof()) {
    const char byte = traits_type::to_char_type(c);
    this->xsputn(&byte, 1);
  }
  return traits_type::not_eof(c);
}

std::streamsize LineSink::xsputn(const char* text, std::streamsize size) {
  for (std::streamsize i = 0; i < size; ++i) {
    this->pending += text[i];
    if (text[i] == '\n') this->WriteLine(std::exchange(this->pending, {}));
  }
  return size;
}

int LineSink::sync() { return 0; }

void LineSink::WriteLine(std::string line) {
  if (this->unreported_drops > 0) {
    line.insert(line.size() - 1, " dropped_lines=" + std::to_string(this->unreported_drops));
  }
  if (line.size() > kMaxLineBytes) {
    line.resize(kMaxLineBytes - 1);
    line += '\n';
  }
  pollfd ready{this->descriptor, POLLOUT, 0};
  if (::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0 &&
      ::write(this->descriptor, line.data(), line.size()) > 0) {
    this->unreported_drops = 0;
    return;
  }
  ++this->dropped;
  ++this->unreported_drops;
}

}  // namespace anvilcroft
