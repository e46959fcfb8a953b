#ifndef ANVILCROFT_FRONT_INSTANCE_H_
#define ANVILCROFT_FRONT_INSTANCE_H_

// An instance on a hosted platform: it serves callers, answers which instances to use, and takes
// its turn as the owner of the batch jobs. All instances run the same roles.
//
//   FrontInstance instance(runtime, settings, [&runtime] { runtime.Stop(); });
//   if (!instance.Start()) return;
//   runtime.Run();
//   runtime.EndTasks();

#include <functional>
#include <memory>
#include <string>

#include "anvilcroft/front_settings.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

class FrontInstance {
 public:
  // `on_stopped` is called at the end of a shutdown.
  FrontInstance(Runtime& runtime, const FrontSettings& settings, std::function<void()> on_stopped);
  ~FrontInstance();
  FrontInstance(const FrontInstance&) = delete;
  FrontInstance& operator=(const FrontInstance&) = delete;

  // Opens the listeners and starts the roles. Returns false, after a line in the log, if an
  // address cannot be used.
  bool Start();

  // Takes over changed settings as far as that is possible while running.
  void ApplySettings(const FrontSettings& settings, const char* cause);

  // Leaves: serves on until callers have other addresses, then calls the hook.
  void ShutDown();

  // Where it listens, "ip:port", after Start.
  const std::string& FrontAddress() const;
  const std::string& DirectoryAddress() const;
  const std::string& ReadyAddress() const;
  const std::string& MetricsAddress() const;

  // Whether this instance holds the lease on the batch jobs.
  bool OwnsBatchJobs() const;
  // Whether it takes itself for the owner, with a lease that may have run out.
  bool HoldsLease() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

// Runs until SIGTERM or SIGINT, then shuts down gracefully within the grace period. Reads the
// settings at `path` again on SIGHUP and when they change. Returns the exit code.
int RunFrontInstance(const FrontSettings& settings, const std::string& path);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_INSTANCE_H_
