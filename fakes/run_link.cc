#include "fakes/fake_link.h"
#include "fakes/program.h"

namespace anvilcroft::fakes {

int RunLink(const Arguments& arguments) {
  Options options("link", "TCP relay with delay and partitions");
  const auto listen = options.AddText("listen", "address to listen on", "127.0.0.1:0");
  const auto control = options.AddText("control", "address of the control port", "127.0.0.1:0");
  const auto target = options.AddText("to", "ip:port to relay to", "");
  const auto delay_ms = options.AddInteger("delay-ms", "one-way delay in milliseconds", 0);
  const auto jitter_ms =
      options.AddInteger("jitter-ms", "largest random additional delay in milliseconds", 0);
  const auto loss = options.AddNumber("loss", "fraction of the data that is retransmitted", 0);
  const auto seed = options.AddInteger("seed", "seed of the random choices", 1);
  options.Parse(arguments);
  const auto endpoint = ParseEndpoint(target->getValue());
  if (!endpoint) {
    std::cerr << "fakes: " << endpoint.error().message << ": --to\n";
    return 2;
  }
  Runtime runtime;
  const auto link =
      FakeLink::Builder(runtime)
          .SetListen(listen->getValue())
          .SetControl(control->getValue())
          .SetTarget(*endpoint)
          .SetDelay(milliseconds(delay_ms->getValue()), milliseconds(jitter_ms->getValue()))
          .SetLoss(loss->getValue())
          .SetSeed(static_cast<uint64_t>(seed->getValue()))
          .Build();
  auto address = link->Start();
  // The system may choose the control port, so the printed line includes it.
  if (address) *address += " control " + link->ControlAddress();
  return RunUntilTerminated(runtime, address);
}

}  // namespace anvilcroft::fakes
