#ifndef ANVILCROFT_TARGET_RELAY_H_
#define ANVILCROFT_TARGET_RELAY_H_

// Sends a request to a target through another instance, for an instance that cannot reach it.
//
// The request goes to the internal address of the other instance as the target would get it, with
// fields that name the target (kTargetField and others). The other instance sends it to the target
// over a connection of its own and returns the response as it arrives; it decides nothing and does
// not relay it further. If that fails, its response names the error and whether the request may
// have run. Closing the connection cancels the request at the target.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "anvilcroft/http_client.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/target_entry.h"

namespace anvilcroft {

// An instance that relays requests.
struct RelayPeer {
  std::string instance;
  Endpoint address;

  friend bool operator==(const RelayPeer& a, const RelayPeer& b) {
    return a.instance == b.instance && a.address == b.address;
  }
  friend bool operator!=(const RelayPeer& a, const RelayPeer& b) { return !(a == b); }
};

// Parts of the error kConnectionLost of a relayed request: whether the process of the target has
// ended, or is not known to have.
constexpr char kTargetEnded[] = "ended";
constexpr char kTargetNotEnded[] = "not_ended";

// Opens the stream of the response to `message`, which `peer` sends to `target`. Fails like
// HttpClient::OpenStream, with the error at `peer` if there is one, and besides with ran = no and
//   kIsolated  `peer` cannot be reached, or reaches no target either
//   kNotFound  `peer` does not know the target
Result<std::unique_ptr<HttpStream>> OpenRelayedStream(Task& task, HttpClient& http,
                                                      const RelayPeer& peer,
                                                      const TargetEntry& target,
                                                      const HttpRequest& message,
                                                      const CallOptions& options);

// Whether `error` of OpenRelayedStream means that another instance should relay the next request.
bool PeerFailed(const Error& error);

// The side of the instance that relays.
class TargetRelay {
 public:
  // Field of a relayed request: the id of the target.
  static constexpr char kTargetField[] = "Anvilcroft-Relay-Target";
  // Limits for establishing the connections to the relaying instance and to the target. Both are at
  // most a few tens of milliseconds away, and another instance may be tried afterwards.
  static constexpr Duration kConnectTimeout = milliseconds(150);

  // A target to which new requests may be sent; nullopt: there is none with this id and start.
  using FindTarget =
      std::function<std::optional<TargetEntry>(const std::string& id, WallMillis started_at)>;
  // Whether this instance is cut off from all targets.
  using CutOff = std::function<bool()>;
  // Opens the stream of a response, for the relayed request `message`.
  using Open = std::function<Result<std::unique_ptr<HttpStream>>(
      Task& task, const TargetEntry& target, const HttpRequest& message,
      const CallOptions& options)>;

  TargetRelay(FindTarget find_target, CutOff cut_off, Open open)
      : find_target(std::move(find_target)), cut_off(std::move(cut_off)), open(std::move(open)) {}

  // Whether `request` is to be relayed.
  static bool IsRelayed(const HttpRequest& request) {
    return !request.Headers().Find(kTargetField).empty();
  }
  // Relays `request`.
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);

 private:
  FindTarget find_target;
  CutOff cut_off;
  Open open;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_TARGET_RELAY_H_
