#ifndef TESTING_CLIENT_CROWD_H_
#define TESTING_CLIENT_CROWD_H_

// Clients that send what HTTP clients do not, each in a thread with a blocking socket, for tests of
// what a process holds for them. A client keeps its connection open until the crowd ends or the
// peer closes it.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "anvilcroft/endpoint.h"

namespace anvilcroft::testing {

class CrowdClient {
 public:
  CrowdClient(const Endpoint& server, const std::atomic<bool>& ended) : ended(ended) {
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    ::inet_pton(AF_INET, server.ip.c_str(), &address.sin_addr);
    this->open =
        ::connect(this->socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }
  ~CrowdClient() { ::close(this->socket); }
  CrowdClient(const CrowdClient&) = delete;
  CrowdClient& operator=(const CrowdClient&) = delete;

  // Sends all of `bytes`. Returns false once the peer has closed the connection, has read nothing
  // for kPatience, or the crowd ends.
  bool Send(const std::string& bytes) {
    auto limit = std::chrono::steady_clock::now() + kPatience;
    std::size_t sent = 0;
    while (this->open && sent < bytes.size()) {
      const auto written = ::send(this->socket, bytes.data() + sent, bytes.size() - sent,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
      if (written > 0) {
        sent += static_cast<std::size_t>(written);
        limit = std::chrono::steady_clock::now() + kPatience;
      } else if (errno != EAGAIN) {
        this->open = false;
      } else {
        if (this->ended || std::chrono::steady_clock::now() > limit) return false;
        pollfd writable = {this->socket, POLLOUT, 0};
        ::poll(&writable, 1, 50);
      }
    }
    return this->open;
  }

  // Waits until the peer closes the connection or the crowd ends. Reads nothing.
  void Hold() {
    while (this->open && !this->ended) {
      pollfd hung_up = {this->socket, POLLRDHUP, 0};
      if (::poll(&hung_up, 1, 50) > 0) this->open = false;
    }
  }

 private:
  static constexpr auto kPatience = std::chrono::seconds(4);

  const std::atomic<bool>& ended;
  int socket;
  bool open = false;
};

class ClientCrowd {
 public:
  // Starts `count` clients that run `script` and then keep their connections open.
  ClientCrowd(const Endpoint& server, int count, std::function<void(CrowdClient&)> script)
      : count(count) {
    for (int i = 0; i < count; ++i) {
      this->threads.emplace_back([this, server, script] {
        CrowdClient client(server, this->ended);
        script(client);
        ++this->sent;
        client.Hold();
      });
    }
  }
  ~ClientCrowd() {
    this->ended = true;
    for (std::thread& thread : this->threads) thread.join();
  }
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Whether every client has sent what it sends, or cannot send more.
  bool AllSent() const { return this->sent == this->count; }

 private:
  int count;
  std::atomic<bool> ended{false};
  std::atomic<int> sent{0};
  std::vector<std::thread> threads;
};

}  // namespace anvilcroft::testing

#endif  // TESTING_CLIENT_CROWD_H_
