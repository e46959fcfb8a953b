#include "testing/platform_endless_forms.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>

namespace anvilcroft::testing {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Events with consecutive ids from `first` on, about 16 KiB.
std::string ValidEvents(int64_t& next) {
  std::string bytes;
  while (bytes.size() < (16 << 10)) {
    bytes += "id: " + std::to_string(next++) + "\ndata: " + std::string(40, 'x') + "\n\n";
  }
  return bytes;
}

}  // namespace

std::string Fill(const std::string& unit) {
  std::string bytes;
  while (bytes.size() < (16 << 10)) bytes += unit;
  return bytes;
}

PeakMemory::PeakMemory() {
  std::ofstream("/proc/self/clear_refs") << "5";  // resets VmHWM
  this->before = Read("VmRSS:");
}

std::size_t PeakMemory::Growth() const {
  const std::size_t peak = Read("VmHWM:");
  return peak > this->before ? peak - this->before : 0;
}

std::size_t PeakMemory::Read(const std::string& field) {
  std::ifstream status("/proc/self/status");
  std::string word;
  std::size_t kib = 0;
  while (status >> word) {
    if (word == field) status >> kib;
  }
  return kib << 10;
}

std::string EndlessHead(const std::string& status, const std::string& fields) {
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: ID\r\nX-Server-Stamp: s.1\r\n" + fields + "\r\n";
}

std::vector<EndlessForm> EndlessForms(const std::vector<std::string>& lines) {
  const std::string stream = "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const auto repeat = [](const std::string& bytes) { return [bytes](int64_t&) { return bytes; }; };
  std::vector<EndlessForm> forms;
  for (const std::string& line : lines) {
    std::string name = line;
    if (name.back() == '\n') name.back() = '/';
    forms.push_back(
        {"chunks of " + name, EndlessHead("200 OK", stream + chunked), repeat(Chunk(Fill(line)))});
    forms.push_back(
        {"a body without length of " + name, EndlessHead("200 OK", stream), repeat(Fill(line))});
  }
  forms.push_back({"valid events", EndlessHead("200 OK", stream + chunked),
                   [](int64_t& next) { return Chunk(ValidEvents(next)); }});
  forms.push_back({"the body of an error", EndlessHead("500 Internal Server Error", chunked),
                   repeat(Chunk(Fill("e")))});
  forms.push_back({"the body of a refusal",
                   EndlessHead("503 Service Unavailable", chunked + "X-Not-Executed: 1\r\n"),
                   repeat(Chunk(Fill("e")))});
  forms.push_back({"a field of the head", "HTTP/1.1 200 OK\r\nX-Long: ", repeat(Fill("h"))});
  forms.push_back({"fields of the head", "HTTP/1.1 200 OK\r\n", repeat(Fill("X-Many: h\r\n"))});
  forms.push_back({"interim answers", "", repeat(Fill("HTTP/1.1 103 Early Hints\r\n\r\n"))});
  forms.push_back({"an extension of a chunk", EndlessHead("200 OK", stream + chunked) + "1;",
                   repeat(Fill("x"))});
  forms.push_back({"a trailer", EndlessHead("200 OK", stream + chunked) + "0\r\n",
                   repeat(Fill("X-Many: t\r\n"))});
  return forms;
}

std::optional<std::string> ReadRequestId(Task& task, RawListener::Socket& socket) {
  const std::string field = "X-Attempt-Id: ";
  std::string head;
  error_code failed;
  asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", task.yield[failed]);
  if (failed) return std::nullopt;
  const std::size_t at = head.find(field);
  if (at == std::string::npos) return "";
  const std::size_t begin = at + field.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::size_t WriteEndless(Task& task, RawListener::Socket& socket, const EndlessForm& form,
                         const std::string& id) {
  std::string bytes = form.head;
  const std::size_t at = bytes.find("ID\r\n");
  if (at != std::string::npos) bytes.replace(at, 2, id);
  int64_t next_event = 1;
  std::size_t written = 0;
  error_code failed;
  while (!failed) {
    written += asio::async_write(socket, asio::buffer(bytes), task.yield[failed]);
    bytes = form.next(next_event);
  }
  return written;
}

}  // namespace anvilcroft::testing
