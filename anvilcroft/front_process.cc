#include "anvilcroft/front_process.h"

#include "anvilcroft/exit_code.h"
#include "anvilcroft/front_instance.h"
#include "anvilcroft/limits/front_limits.h"
#include "anvilcroft/log.h"

namespace anvilcroft {
namespace {

constexpr char kPart[] = "instance";
// Interval at which the settings are reloaded without a signal.
constexpr Duration kSettingsCheckInterval = seconds(2);

}  // namespace

int RunFrontInstance(const FrontSettings& settings, const std::string& path) {
  ConfigureAllocator();
  LogToStandardOutput();
  InitLog(settings.MinimumLogLevel());
  Runtime runtime;
  FrontInstance instance(runtime, settings, [&runtime] { runtime.Stop(); });
  if (!instance.Start()) return kExitFailed;
  const auto reload = [&instance, &path](const char* cause) {
    const auto read = LoadFrontSettings(path);
    if (read) {
      instance.ApplySettings(*read, cause);
      return;
    }
    for (const auto& problem : read.error()) {
      LogError(kPart, "cannot load the settings; keeping the current ones",
               {{"problem", problem.ToString()}});
    }
  };
  runtime.OnTerminate([&instance] { instance.ShutDown(); });
  runtime.OnReload([&reload] {
    LogInfo(kPart, "reloading the settings", {{"cause", "SIGHUP"}});
    reload("SIGHUP");
  });
  runtime.SpawnService("reload settings", [&reload](Task& task) {
    while (true) {
      SleepUntil(task, SteadyNow() + kSettingsCheckInterval);
      reload("regular reload");
    }
  });
  runtime.Run();
  runtime.EndTasks();
  LogInfo(kPart, "stopped");
  return kExitOk;
}

}  // namespace anvilcroft
