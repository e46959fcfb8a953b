#include "anvilcroft/limits/request_reader.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "anvilcroft/http_beast.h"
#include "anvilcroft/runtime_impl.h"

namespace anvilcroft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

// Buffered input that may follow the head: a chunk header or a trailer, whose length nothing else
// limits.
constexpr std::size_t kMaxBufferedBytes = 64 << 10;
// A head is held by the parser, as the headers of the request, of the forwarded request and of an
// attempt, and as the message that is sent.
constexpr std::size_t kHeadCopies = 6;
// Step in which a large chunked body is charged.
constexpr std::size_t kBodyStepBytes = 256 << 10;

}  // namespace

RequestReader::RequestReader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                             MemoryCharge& connection, OpenCharge open_body, const Limits& limits)
    : stream(stream),
      buffer(buffer),
      connection(connection),
      open_body(std::move(open_body)),
      limits(limits),
      deadline(SteadyNow() + limits.read_timeout),
      needs_more(buffer.size() == 0) {
  this->buffer.max_size(limits.max_header_bytes + kMaxBufferedBytes);
  this->parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  this->parser.body_limit(limits.max_body_bytes);
}

RequestReader::Outcome RequestReader::Read(Task& task) {
  while (true) {
    const auto outcome = this->needs_more ? this->ReadMore(task) : this->Parse(task);
    if (outcome) return *outcome;
  }
}

std::optional<RequestReader::Outcome> RequestReader::Parse(Task& task) {
  if (this->parser.is_header_done()) {
    if (!this->head_admitted) {
      if (!this->AdmitHead(task)) return Outcome::kRefused;
      const auto length = this->parser.content_length();
      if (length && *length > 0 && !this->AdmitBody(task, *length)) return Outcome::kRefused;
      this->head_admitted = true;
    }
    const bool chunked = this->parser.chunked();
    if (chunked && !this->AdmitBody(task, this->parser.get().body().size() + this->buffer.size())) {
      return Outcome::kRefused;
    }
  }
  if (this->parser.is_done()) return Outcome::kComplete;
  if (this->buffer.size() == 0) {
    this->needs_more = true;
    return std::nullopt;
  }
  error_code parse_failed;
  const std::size_t used = this->parser.put(this->buffer.data(), parse_failed);
  this->buffer.consume(used);
  if (parse_failed == http::error::need_more) {
    this->needs_more = true;
  } else if (parse_failed) {
    this->failed = parse_failed;
    return Outcome::kMalformed;
  }
  return std::nullopt;
}

std::optional<RequestReader::Outcome> RequestReader::ReadMore(Task& task) {
  const bool large = this->body && this->body->Pool() == MemoryPool::kLarge;
  const std::size_t held = this->buffer.size();
  const std::size_t room = this->buffer.max_size() - std::min(this->buffer.max_size(), held);
  if (room == 0) {
    this->failed = http::error::buffer_overflow;
    return Outcome::kMalformed;
  }
  const std::size_t wanted = std::min(room, large ? kLargeReadBytes : kReadBytes);
  if (held + wanted > this->buffer.capacity()) {
    const std::size_t capacity = std::max(2 * held, held + wanted);
    if (!this->ChargeConnection(task, std::min(capacity, this->buffer.max_size()))) {
      return Outcome::kRefused;
    }
  }
  error_code read_failed;
  this->stream.expires_at(this->deadline);
  const std::size_t read =
      this->stream.async_read_some(this->buffer.prepare(wanted), task.yield[read_failed]);
  if (read_failed) return Outcome::kClosed;
  this->buffer.commit(read);
  const TimePoint now = SteadyNow();
  this->connection.OnReceived(read, now);
  if (this->body) this->body->OnReceived(read, now);
  this->needs_more = false;
  return std::nullopt;
}

TimePoint RequestReader::WaitLimit() const {
  return std::min(this->deadline, SteadyNow() + kMaxWait);
}

bool RequestReader::ChargeConnection(Task& task, std::size_t buffer_bytes) {
  // A trailer or a chunk header that is parsed is copied once.
  return this->connection.WaitToResize(task, kConnectionBytes + 2 * buffer_bytes + this->head_bytes,
                                       this->WaitLimit());
}

bool RequestReader::AdmitHead(Task& task) {
  std::size_t bytes = 0;
  for (const auto& field : this->parser.get()) {
    bytes += field.name_string().size() + field.value().size() + 2;
  }
  this->head_bytes = kServingBytes + kHeadCopies * (bytes + this->parser.get().target().size());
  return this->ChargeConnection(task, this->buffer.capacity());
}

bool RequestReader::AdmitBody(Task& task, std::size_t bytes) {
  const bool chunked = this->parser.chunked();
  if (bytes == 0) return true;
  const bool large = bytes > kSmallBodyBytes;
  const bool other_pool = large && this->body && this->body->Pool() != MemoryPool::kLarge;
  if (this->body && !other_pool && bytes <= this->body->Bytes()) return true;
  if (!this->body || other_pool) {
    auto charge = this->open_body(large ? MemoryPool::kLarge : this->connection.Pool());
    charge->SetIncomplete(SteadyNow());
    if (chunked && large && this->body) charge->OnReceived(this->body->Bytes(), SteadyNow());
    const std::size_t first = !chunked ? bytes : large ? bytes + kBodyStepBytes : 2 * bytes;
    // A large body with a length is refused at once: nothing of it is held that could be lost.
    const TimePoint limit = large && !chunked ? SteadyNow() : this->WaitLimit();
    if (!charge->WaitToResize(task, first, limit)) return false;
    this->body = std::move(charge);
    // Growth by doubling would take three times the body. Only pages that are written to become
    // resident.
    if (chunked && large) this->parser.get().body().reserve(this->limits.max_body_bytes);
    return true;
  }
  // A small chunked body grows by doubling.
  const std::size_t next = large ? bytes + kBodyStepBytes : 2 * bytes;
  return this->body->WaitToResize(task, next, this->WaitLimit());
}

void RequestReader::Drop() {
  this->parser.get().body() = std::string();
  this->body = nullptr;
}

HttpRequest RequestReader::TakeRequest() {
  if (this->body) {
    // What was charged ahead is not needed any more.
    if (this->parser.chunked()) {
      const std::size_t size = this->parser.get().body().size();
      const bool large = this->body->Pool() == MemoryPool::kLarge;
      this->body->Resize(std::min(this->body->Bytes(), large ? size : 2 * size), SteadyNow());
    }
    this->body->SetComplete();
  }
  this->connection.SetComplete();
  return HttpRequest::Builder()
      .SetMethod(this->parser.get().method_string().to_string())
      .SetTarget(this->parser.get().target().to_string())
      .SetHeaders(FromBeast(this->parser.get().base()))
      .SetBody(SharedBody(std::move(this->parser.get().body()), std::move(this->body)))
      .Build();
}

}  // namespace anvilcroft
