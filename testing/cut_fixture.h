#ifndef TESTING_CUT_FIXTURE_H_
#define TESTING_CUT_FIXTURE_H_

// A fake platform whose instances can be cut off from all targets.

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fake_link.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {

// A site in which each instance has links of its own to all targets.
class CutFixture : public PlatformFixture {
 public:
  CutFixture(int instance_count, int app_count, int engine_count) {
    for (int i = 2; i <= app_count; ++i) {
      const std::string id = "i-app" + std::to_string(i);
      this->more_apps.push_back(std::make_unique<fakes::PlatformEngine>(this->runtime, id, ""));
      REQUIRE(this->more_apps.back()->Start());
      this->store.Put("servers", id, this->more_apps.back()->RegistrationEntry("app", "a"));
    }
    for (int i = 1; i <= engine_count; ++i) this->AddEngine("i-e" + std::to_string(i));
    for (int i = 1; i <= instance_count; ++i) this->AddLinkedInstance("n" + std::to_string(i));
  }

  FrontInstance& AddLinkedInstance(const std::string& id) {
    std::map<std::string, std::string> addresses;
    std::vector<fakes::PlatformEngine*> targets = {&this->app};
    for (auto& app : this->more_apps) targets.push_back(app.get());
    for (auto& engine : this->engines) targets.push_back(engine.get());
    for (fakes::PlatformEngine* target : targets) {
      const std::string address =
          nlohmann::json::parse(target->RegistrationEntry("", ""))["Address"];
      auto link =
          fakes::FakeLink::Builder(this->runtime).SetTarget(*ParseEndpoint(address)).Build();
      addresses[address] = *link->Start();
      this->links[id].push_back(std::move(link));
    }
    return this->AddInstance(id, *this->store.AddView(std::move(addresses)));
  }

  // Sets the mode of all links of the instances `first` to `last`, counted from 1.
  void SetLinks(int first, int last, fakes::FakeLink::Mode mode) {
    for (int i = first; i <= last; ++i) {
      for (auto& link : this->links["n" + std::to_string(i)]) link->SetMode(mode);
    }
  }

  // Share of the requests that are served, of one request each 100 ms for `duration` at the
  // instances `first` to `last` in turn.
  double ServedShare(Task& task, const std::string& path, int first, int last, Duration duration,
                     const std::string& deadline_ms) {
    int sent = 0;
    int served = 0;
    int open = 0;
    const TimePoint end = SteadyNow() + duration;
    while (SteadyNow() < end) {
      const auto index = static_cast<std::size_t>(first - 1 + sent % (last - first + 1));
      const std::string address = this->instances[index]->FrontAddress();
      const std::string id = "r" + std::to_string(this->next_request++);
      ++sent;
      ++open;
      this->runtime.Spawn([this, address, path, id, deadline_ms, &served, &open](Task& caller) {
        const auto answer = this->Send(caller, address, "POST", path, id, "", deadline_ms);
        if (answer && answer->Status() == 200) ++served;
        --open;
      });
      SleepUntil(task, SteadyNow() + milliseconds(100));
    }
    this->Await(task, "the answers", [&] { return open == 0; });
    return static_cast<double>(served) / sent;
  }

  std::map<std::string, std::vector<std::unique_ptr<fakes::FakeLink>>> links;  // by instance
  std::vector<std::unique_ptr<fakes::PlatformEngine>> more_apps;
  int next_request = 0;
};

}  // namespace anvilcroft

#endif  // TESTING_CUT_FIXTURE_H_
