#include "fakes/fake_instance_list.h"
#include "fakes/fake_object_store.h"
#include "fakes/fake_table.h"
#include "fakes/fake_weight_store.h"
#include "fakes/program.h"

namespace anvilcroft::fakes {
namespace {

constexpr char kAnyPort[] = "127.0.0.1:0";
constexpr char kAddressHelp[] = "address to listen on";

}  // namespace

int RunTable(const Arguments& arguments) {
  Options options("table", "transactional table service");
  const auto address = options.AddText("address", kAddressHelp, kAnyPort);
  const auto writes = options.AddNumber("writes-per-second", "rate limit; 0 for none", 400);
  const auto reads = options.AddNumber("reads-per-second", "rate limit; 0 for none", 2000);
  options.Parse(arguments);
  Runtime runtime;
  const auto fake = FakeTable::Builder(runtime)
                        .SetAddress(address->getValue())
                        .SetWritesPerSecond(writes->getValue())
                        .SetReadsPerSecond(reads->getValue())
                        .Build();
  return Serve(runtime, *fake);
}

int RunInstances(const Arguments& arguments) {
  Options options("instances", "list of targets");
  const auto address = options.AddText("address", kAddressHelp, kAnyPort);
  const auto lag_ms =
      options.AddInteger("lag-ms", "time in milliseconds until a change is visible", 0);
  options.Parse(arguments);
  Runtime runtime;
  const auto fake = FakeInstanceList::Builder(runtime)
                        .SetAddress(address->getValue())
                        .SetLag(milliseconds(lag_ms->getValue()))
                        .Build();
  return Serve(runtime, *fake);
}

int RunWeights(const Arguments& arguments) {
  Options options("weights", "weight store");
  const auto address = options.AddText("address", kAddressHelp, kAnyPort);
  const auto rate = options.AddNumber("downloads-per-second", "rate limit; 0 for none", 0);
  const auto time_ms =
      options.AddInteger("download-ms", "duration of one download in milliseconds", 0);
  options.Parse(arguments);
  Runtime runtime;
  const auto fake = FakeWeightStore::Builder(runtime)
                        .SetAddress(address->getValue())
                        .SetDownloadsPerSecond(rate->getValue())
                        .SetDownloadTime(milliseconds(time_ms->getValue()))
                        .Build();
  return Serve(runtime, *fake);
}

int RunObjects(const Arguments& arguments) {
  Options options("objects", "object store");
  const auto address = options.AddText("address", kAddressHelp, kAnyPort);
  options.Parse(arguments);
  Runtime runtime;
  const auto fake = FakeObjectStore::Builder(runtime).SetAddress(address->getValue()).Build();
  return Serve(runtime, *fake);
}

}  // namespace anvilcroft::fakes
