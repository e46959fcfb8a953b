#ifndef ANVILCROFT_PEER_LINK_H_
#define ANVILCROFT_PEER_LINK_H_

// One websocket connection to another instance, for use in a task: a queue of received messages and
// a send buffer, both bounded. The transport's handlers call only OnOpen, OnMessage and OnClose.

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "anvilcroft/event.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

class PeerLink {
 public:
  // Limits on the queue of received messages, and in bytes also on the send buffer. A connection
  // that exceeds one of them is closed.
  static constexpr std::size_t kMaxQueuedBytes = 4 << 20;
  static constexpr std::size_t kMaxQueuedMessages = 1024;

  enum class State { kConnecting, kOpen, kClosed };

  State CurrentState() const { return this->state; }

  // Waits until the connection is open. Returns false if it failed or `deadline` passed.
  bool WaitOpen(Task& task, TimePoint deadline);

  // Waits for the next message. Returns nullopt at `deadline` and when the connection is closed.
  std::optional<std::string> Receive(Task& task, TimePoint deadline);

  // Queues one message. Returns false, and closes the connection, if it cannot be queued.
  bool Send(const std::string& bytes);

  // Closes the connection and discards the messages that Receive has not returned.
  void Close();

  // Called by the transport.
  void OnOpen();
  void OnMessage(std::string bytes);
  void OnClose();

  // Set by the transport: send one message (returns false on failure) and close the connection.
  std::function<bool(const std::string& bytes)> transport_send;
  std::function<void()> transport_close;

 private:
  State state = State::kConnecting;
  std::deque<std::string> inbox;
  std::size_t inbox_bytes = 0;
  Event changed;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_PEER_LINK_H_
