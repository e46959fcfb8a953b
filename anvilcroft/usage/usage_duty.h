#ifndef ANVILCROFT_USAGE_USAGE_DUTY_H_
#define ANVILCROFT_USAGE_USAGE_DUTY_H_

// Usage reports of one instance: counts its own requests, and reports those of all instances while
// it holds the owner lease. Created where the settings name the duty.

#include <functional>
#include <memory>
#include <utility>

#include "anvilcroft/front_directory.h"
#include "anvilcroft/front_settings.h"
#include "anvilcroft/usage/usage_recorder.h"
#include "anvilcroft/usage/usage_reporter.h"

namespace anvilcroft {

class UsageDuty {
 public:
  // Returns null if the settings do not name the duty. `lease` returns the owner lease.
  static std::unique_ptr<UsageDuty> Create(Runtime& runtime, MetadataStore& store,
                                           const FrontDirectory& directory, Metrics& metrics,
                                           const FrontSettings& settings,
                                           std::function<HeldLease()> lease);

  UsageDuty(Runtime& runtime, MetadataStore& store, Metrics& metrics, const Endpoint& address,
            UsageRecorder::Config recorder_config, UsageReporter::Config reporter_config)
      : cloud(runtime, address),
        recorder(runtime, store, metrics, std::move(recorder_config)),
        reporter(runtime, store, this->cloud, metrics, std::move(reporter_config)) {}

  void Start() {
    this->recorder.Start();
    this->reporter.Start();
  }

  UsageRecorder& Recorder() { return this->recorder; }

  // Uses a changed address of the API. Other changes take effect when the process starts.
  void ApplySettings(const FrontSettings& settings) {
    if (settings.Cloud()) this->cloud.SetAddress(settings.Cloud()->address);
  }

 private:
  platform::CloudClient cloud;
  UsageRecorder recorder;
  UsageReporter reporter;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_USAGE_USAGE_DUTY_H_
