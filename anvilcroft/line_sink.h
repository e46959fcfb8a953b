#ifndef ANVILCROFT_LINE_SINK_H_
#define ANVILCROFT_LINE_SINK_H_

// A stream buffer that writes whole lines to a file descriptor and never blocks: a line that the
// reader has no room for is dropped and counted.

#include <cstdint>
#include <streambuf>
#include <string>

namespace anvilcroft {

class LineSink : public std::streambuf {
 public:
  // A pipe that is ready takes this many bytes without blocking; longer lines are cut.
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LineSink(int descriptor) : descriptor(descriptor) {}

  // Lines dropped because the reader did not keep up.
  int64_t Dropped() const { return this->dropped; }

 protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;
  int sync() override;

 private:
  void WriteLine(std::string line);

  int descriptor;
  std::string pending;
  int64_t dropped = 0;
  int64_t unreported = 0;  // dropped since the last line that was written
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LINE_SINK_H_
