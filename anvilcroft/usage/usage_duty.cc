#include "anvilcroft/usage/usage_duty.h"

#include <string>
#include <utility>
#include <vector>

namespace anvilcroft {

std::unique_ptr<UsageDuty> UsageDuty::Create(Runtime& runtime, MetadataStore& store,
                                             const FrontDirectory& directory, Metrics& metrics,
                                             const FrontSettings& settings,
                                             std::function<HeldLease()> lease) {
  if (!settings.Cloud() || !settings.Cloud()->report_usage) return nullptr;
  const CloudSettings& cloud = *settings.Cloud();
  UsageRecorder::Config recorder;
  recorder.instance = settings.InstanceId();
  recorder.window = cloud.usage_window;
  recorder.store_writes_per_s = settings.StoreWritesPerS();
  recorder.instances = [&directory] { return directory.LiveFronts().size(); };
  recorder.started_at = WallNow();
  UsageReporter::Config reporter;
  reporter.instance = settings.InstanceId();
  reporter.window = cloud.usage_window;
  reporter.due = cloud.usage_due;
  reporter.calls_per_s = cloud.calls_per_s;
  reporter.started_at = recorder.started_at;
  reporter.lease = std::move(lease);
  reporter.live = [&directory] {
    std::vector<std::string> names;
    for (const FrontRecord& front : directory.LiveFronts()) names.push_back(front.instance);
    return names;
  };
  return std::make_unique<UsageDuty>(runtime, store, metrics, cloud.address, std::move(recorder),
                                     std::move(reporter));
}

}  // namespace anvilcroft
