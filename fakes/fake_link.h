#ifndef FAKES_FAKE_LINK_H_
#define FAKES_FAKE_LINK_H_

// A TCP relay that simulates a network link with delay, jitter, loss and partitions.
//
//   auto link = FakeLink::Builder(runtime).SetTarget(endpoint).SetDelay(milliseconds(5)).Build();
//   Result<std::string> address = link->Start();  // connect here instead of to `endpoint`
//   link->SetMode(FakeLink::Mode::kSilent);
//
// The control address serves POST /control/faults {mode, delay_ms, jitter_ms, loss} and
// GET /control/log, which returns {connections, open, bytes}.

#include <cstdint>
#include <memory>
#include <string>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/runtime.h"
#include "anvilcroft/time.h"

namespace anvilcroft::fakes {

class FakeLink {
 public:
  class Builder;

  enum class Mode {
    kUp,
    // Resets the open connections and every new one.
    kCut,
    // The connections that are open when this mode is set never deliver another byte, even after a
    // later kUp; new connections work. Bytes sent on them are acknowledged and dropped.
    kSilent,
    // A partition: no connection delivers a byte until a later kUp. All of them continue then, as
    // TCP connections do once their retransmissions arrive.
    kSilentAll,
    // A partition as kSilentAll, in which new connections are not established either.
    kUnreachable,
    // Resets the open connections and refuses new ones.
    kRefuse,
    // The open connections work, and new ones are refused.
    kRefuseNew,
  };

  // The delays that apply to each chunk of data.
  struct Quality {
    Duration delay{0};   // one way
    Duration jitter{0};  // upper bound of a random additional delay
    double loss = 0;     // fraction of the chunks that a retransmission delays by another 200 ms
  };

  virtual ~FakeLink() = default;

  // Starts to listen and returns the address to connect to as "ip:port". Fails with
  // kInvalidArgument if an address is malformed or unavailable.
  virtual Result<std::string> Start() = 0;
  // The address of the control server as "ip:port". Valid after Start.
  virtual std::string ControlAddress() const = 0;

  virtual void SetMode(Mode mode) = 0;
  // Applies to data that arrives after this call.
  virtual void SetQuality(const Quality& quality) = 0;
};

class FakeLink::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  // The addresses for relayed and for control connections. By default free ones.
  Builder& SetListen(std::string value);
  Builder& SetControl(std::string value);
  // The endpoint to relay to.
  Builder& SetTarget(Endpoint value);
  Builder& SetDelay(Duration delay, Duration jitter = Duration(0));
  Builder& SetLoss(double value);
  Builder& SetSeed(uint64_t value);

  std::unique_ptr<FakeLink> Build() const;

 private:
  friend class FakeLinkImpl;

  Runtime& runtime;
  std::string listen;  // empty: FreeAddress()
  std::string control = "127.0.0.1:0";
  Endpoint target;
  Quality quality;
  uint64_t seed = 1;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_LINK_H_
