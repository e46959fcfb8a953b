#include "anvilcroft/peer_link.h"

#include <utility>

namespace anvilcroft {

bool PeerLink::WaitOpen(Task& task, TimePoint deadline) {
  while (this->state == State::kConnecting) {
    if (!this->changed.WaitUntil(task, deadline)) break;
  }
  return this->state == State::kOpen;
}

std::optional<std::string> PeerLink::Receive(Task& task, TimePoint deadline) {
  while (this->inbox.empty()) {
    if (this->state == State::kClosed) return std::nullopt;
    if (!this->changed.WaitUntil(task, deadline)) return std::nullopt;
  }
  std::string bytes = std::move(this->inbox.front());
  this->inbox.pop_front();
  this->inbox_bytes -= bytes.size();
  return bytes;
}

bool PeerLink::Send(const std::string& bytes) {
  if (this->state != State::kOpen) return false;
  if (this->transport_send(bytes)) return true;
  this->Close();
  return false;
}

void PeerLink::Close() {
  if (this->state == State::kClosed) return;
  this->OnClose();
  if (this->transport_close) this->transport_close();
}

void PeerLink::OnOpen() {
  if (this->state != State::kConnecting) return;
  this->state = State::kOpen;
  this->changed.NotifyAll();
}

void PeerLink::OnMessage(std::string bytes) {
  if (this->state != State::kOpen) return;
  this->inbox_bytes += bytes.size();
  this->inbox.push_back(std::move(bytes));
  if (this->inbox_bytes > kMaxQueuedBytes || this->inbox.size() > kMaxQueuedMessages) {
    this->Close();
    return;
  }
  this->changed.NotifyAll();
}

void PeerLink::OnClose() {
  this->state = State::kClosed;
  this->inbox.clear();
  this->inbox_bytes = 0;
  this->changed.NotifyAll();
}

}  // namespace anvilcroft
