#ifndef ANVILCROFT_LIMITS_REQUEST_READER_H_
#define ANVILCROFT_LIMITS_REQUEST_READER_H_

// Reads one request from a connection. Everything that it holds is charged to the memory budget
// before it is read: input that is not parsed yet, the head with its copies, and the body.
//
// A body with a length is admitted as a whole or refused before it is read. A chunked body is
// admitted piece by piece: while there is no memory for the next piece, nothing is read, so that
// the peer's window closes, and after kMaxWait the request is refused. A refused request has not
// run.

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <memory>
#include <optional>

#include "anvilcroft/http_request.h"
#include "anvilcroft/limits/memory_budget.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

class RequestReader {
 public:
  struct Limits {
    std::size_t max_header_bytes = 0;
    std::size_t max_body_bytes = 0;
    Duration read_timeout = Duration::zero();
  };
  enum class Outcome {
    kComplete,
    kMalformed,  // or too large; see Error()
    kClosed,     // the connection was closed or timed out
    kRefused,    // there is no memory
  };

  // Memory of a connection: the stack of its task, the socket and its first buffer. Measured with
  // 1,000 connections: 15 kB each if idle, 23 kB after a request.
  static constexpr std::size_t kConnectionBytes = 24 << 10;
  // Added while a request is served, for the task and the connection of an attempt. Measured: 46 to
  // 50 kB in all for a small request in flight.
  static constexpr std::size_t kServingBytes = 16 << 10;
  // Input that is read at once: for a head or a small body, and for a large body.
  static constexpr std::size_t kReadBytes = 4 << 10;
  static constexpr std::size_t kLargeReadBytes = 32 << 10;
  // Longest time for which a request waits for memory.
  static constexpr Duration kMaxWait = seconds(1);

  // `connection` is the charge of the connection, and `open_body` opens a charge for a body.
  using OpenCharge = std::function<std::shared_ptr<MemoryCharge>(MemoryPool pool)>;
  RequestReader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                MemoryCharge& connection, OpenCharge open_body, const Limits& limits);

  // Reads the request until it has an outcome.
  Outcome Read(Task& task);

  // kMalformed: what is wrong.
  const boost::system::error_code& Error() const { return this->failed; }
  bool KeepAlive() const { return this->parser.keep_alive(); }
  bool HeadOnly() const { return this->parser.get().method() == boost::beast::http::verb::head; }
  // Releases what has been read of a request that is not served.
  void Drop();
  // Moves out the complete request. Its body keeps its charge.
  HttpRequest TakeRequest();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  // Parses buffered input. Returns an outcome, or nullopt if more input is needed.
  std::optional<Outcome> Parse(Task& task);
  // Waits for memory for further input and reads it.
  std::optional<Outcome> ReadMore(Task& task);
  // Charges the head. False: refused.
  bool AdmitHead(Task& task);
  // Charges a body of `bytes` in all. False: refused.
  bool AdmitBody(Task& task, std::size_t bytes);
  bool ChargeConnection(Task& task, std::size_t buffer_bytes);
  TimePoint WaitLimit() const;

  boost::beast::tcp_stream& stream;
  boost::beast::flat_buffer& buffer;
  MemoryCharge& connection;
  OpenCharge open_body;
  Limits limits;
  TimePoint deadline;
  Parser parser;
  std::shared_ptr<MemoryCharge> body;
  std::size_t head_bytes = 0;  // charged for the head with its copies, and for serving it
  bool head_admitted = false;
  bool needs_more = true;  // the buffered input is incomplete
  boost::system::error_code failed;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_LIMITS_REQUEST_READER_H_
