#ifndef TESTING_PROCESS_SITE_H_
#define TESTING_PROCESS_SITE_H_

// A site whose instances are real processes, for tests in which instances are killed.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include "anvilcroft/http_client.h"
#include "fakes/platform_caller.h"
#include "soak/site.h"
#include "testing/run_task.h"

namespace anvilcroft::testing {

class ProcessSite {
 public:
  // `options` names neither the binary nor the directory.
  explicit ProcessSite(soak::SiteOptions options)
      : folder(std::filesystem::temp_directory_path() / ("site-" + std::to_string(getpid()))),
        site(this->runtime, this->Complete(std::move(options))),
        http(this->runtime) {}
  ~ProcessSite() {
    this->runtime.EndTasks();
    for (auto& instance : this->site.Instances()) instance.process.reset();
    std::filesystem::remove_all(this->folder);
  }

  std::vector<std::string> Addresses() {
    std::vector<std::string> addresses;
    for (const auto& instance : this->site.Instances()) addresses.push_back(instance.front);
    return addresses;
  }

  Result<HttpResponse> Send(Task& task, const std::string& address, const std::string& target,
                            const std::string& id, const std::string& body = "") {
    return this->http.Call(task, *ParseEndpoint(address),
                           fakes::CallerRequest("POST", target, id, body, "2000"),
                           CallOptions(SteadyNow() + seconds(2)).WithFreshConnection());
  }

  // Waits until every instance serves requests.
  void AwaitServing(Task& task) {
    for (const std::string& address : this->Addresses()) {
      REQUIRE(WaitUntil(
          task,
          [&] {
            const auto answer = this->Send(task, address, "/lookup/1", "ready");
            return answer && answer->Status() == 200;
          },
          seconds(30)));
    }
  }

  // Kills all instances at the same moment and starts them again.
  void KillAllInstances(Task& task) {
    for (auto& instance : this->site.Instances()) instance.process->Signal(SIGKILL);
    SleepUntil(task, SteadyNow() + milliseconds(300));
    for (auto& instance : this->site.Instances()) REQUIRE(this->site.StartProcess(instance));
    this->AwaitServing(task);
  }

  std::filesystem::path folder;
  Runtime runtime;
  soak::Site site;
  HttpClient http;

 private:
  soak::SiteOptions Complete(soak::SiteOptions options) const {
    std::filesystem::create_directories(this->folder);
    options.binary = ANVILCROFT_BINARY;
    options.directory = this->folder.string();
    return options;
  }
};

}  // namespace anvilcroft::testing

#endif  // TESTING_PROCESS_SITE_H_
