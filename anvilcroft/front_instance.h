#ifndef ANVILCROFT_FRONT_INSTANCE_H_
#define ANVILCROFT_FRONT_INSTANCE_H_

// An instance on a hosted platform: it serves callers, tells them which instances to use, and may
// become the owner of the batch jobs. All instances have the same roles.
//
//   FrontInstance instance(runtime, settings, [&runtime] { runtime.Stop(); });
//   if (!instance.Start()) return;
//   runtime.Run();
//   runtime.EndTasks();

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/front_settings.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

class FrontInstance {
 public:
  // `on_stopped` is called when a shutdown is complete.
  FrontInstance(Runtime& runtime, const FrontSettings& settings, std::function<void()> on_stopped);
  ~FrontInstance();
  FrontInstance(const FrontInstance&) = delete;
  FrontInstance& operator=(const FrontInstance&) = delete;

  // Opens the listeners and starts the roles. If an address cannot be used, logs an error and
  // returns false.
  bool Start();

  // Applies changed settings as far as possible while running. `cause` is logged.
  void ApplySettings(const FrontSettings& settings, const char* cause);

  // Starts a graceful shutdown: continues to serve until callers no longer use this instance's
  // address, at most for the grace period, then calls `on_stopped`.
  void ShutDown();

  // The "ip:port" addresses of the listeners. Valid after Start.
  const std::string& FrontAddress() const;
  const std::string& DirectoryAddress() const;
  const std::string& ReadyAddress() const;
  const std::string& MetricsAddress() const;

  // Whether this instance holds a valid lease on the batch jobs.
  bool OwnsBatchJobs() const;
  // Whether this instance holds the lease, which may have expired, and no later holder is known.
  bool HoldsLease() const;
  // The slices beyond the first whose leases this instance holds.
  std::vector<int> HeldSlices() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_INSTANCE_H_
