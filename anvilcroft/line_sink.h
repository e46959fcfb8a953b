#ifndef ANVILCROFT_LINE_SINK_H_
#define ANVILCROFT_LINE_SINK_H_

// A stream buffer that writes whole lines to a file descriptor and never blocks. If the descriptor
// is not ready for writing, the line is dropped and counted. The next line that is written reports
// the number of dropped lines in the field dropped_lines.

#include <cstdint>
#include <streambuf>
#include <string>

namespace anvilcroft {

class LineSink : public std::streambuf {
 public:
  // A pipe that polls as writable accepts this many bytes without blocking. Longer lines are
  // truncated.
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LineSink(int descriptor) : descriptor(descriptor) {}

  // Number of lines dropped because the reader did not keep up.
  int64_t DroppedLines() const { return this->dropped; }

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  int sync() override;

 private:
  void WriteLine(std::string line);

  int descriptor;
  std::string pending;
  int64_t dropped = 0;
  int64_t unreported_drops = 0;  // lines dropped since the last written line
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LINE_SINK_H_
