#ifndef FAKES_FAKE_LINK_H_
#define FAKES_FAKE_LINK_H_

// A TCP relay that stands for a network link with delay, jitter, loss and partitions.
//
//   auto link = FakeLink::Builder(runtime).SetTarget(endpoint).SetDelay(milliseconds(5)).Build();
//   Result<std::string> address = link->Start();  // connect here instead of to `endpoint`
//   link->SetMode(FakeLink::Mode::kSilent);
//
// The control address takes POST /control/faults {mode, delay_ms, jitter_ms, loss} and
// GET /control/log {connections, open, bytes}.

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
    // The connections that are open now never carry another byte, also after a later kUp, while
    // new ones work. Bytes sent into them are acknowledged and dropped.
    kSilent,
    // A partition: no connection carries a byte until a later kUp, which lets all go on, as TCP
    // does once its retransmissions get through.
    kSilentAll,
  };

  // How the link treats each piece of data.
  struct Quality {
    Duration delay{0};   // one way
    Duration jitter{0};  // up to this much more, at random
    double loss = 0;     // part of the pieces that a retransmission delays by another 200 ms
  };

  virtual ~FakeLink() = default;

  // Returns the address to connect to. Fails with kInvalidArgument as HttpServer does.
  virtual Result<std::string> Start() = 0;
  virtual std::string ControlAddress() const = 0;

  virtual void SetMode(Mode mode) = 0;
  // Applies to data that arrives from now on.
  virtual void SetQuality(const Quality& quality) = 0;
};

class FakeLink::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetListen(std::string value);
  Builder& SetControl(std::string value);
  Builder& SetTarget(Endpoint value);
  Builder& SetDelay(Duration delay, Duration jitter = Duration(0));
  Builder& SetLoss(double value);
  Builder& SetSeed(uint64_t value);

  std::unique_ptr<FakeLink> Build() const;

 private:
  friend class FakeLinkImpl;

  Runtime& runtime;
  std::string listen = "127.0.0.1:0";
  std::string control = "127.0.0.1:0";
  Endpoint target;
  Quality quality;
  uint64_t seed = 1;
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_LINK_H_
