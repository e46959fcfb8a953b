#ifndef FAKES_FAKE_INSTANCE_LIST_H_
#define FAKES_FAKE_INSTANCE_LIST_H_

// A fake of the platform's list of targets (docs/design.md, section 5.4). A change becomes visible
// to readers only after a configurable lag.
//
//   GET /v1/instances?since=R  the entries that changed after revision R
//   POST /control/put {id, kind, service, address, zone, state}  adds or replaces an entry

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "fakes/fake_server.h"

namespace anvilcroft::fakes {

class FakeInstanceList {
 public:
  class Builder;

  Result<std::string> Start() { return this->server.Start(); }
  FakeServer& Server() { return this->server; }

  // Adds or replaces the entry of an instance and returns the revision of this change. Fails with
  // kInvalidArgument on a malformed entry.
  Result<int64_t> Put(const nlohmann::json& instance);

  // Also applies to changes that are not visible yet.
  void SetLag(Duration value) { this->lag = value; }

 private:
  struct Change {
    int64_t revision = 0;
    TimePoint made;
    nlohmann::json instance;
  };

  explicit FakeInstanceList(const Builder& builder);
  // Makes the changes visible whose lag has passed at `now`.
  void PublishDueChanges(TimePoint now);
  // The visible entries that changed after revision `since`, and the visible revision.
  nlohmann::json ChangesSince(int64_t since) const;

  FakeServer server;
  Duration lag;
  int64_t revision = 0;
  int64_t visible_revision = 0;
  std::deque<Change> pending;
  std::map<std::string, Change> visible;  // by instance id, the latest visible change
  nlohmann::json log = nlohmann::json::array();
};

class FakeInstanceList::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetAddress(std::string value);
  // The time from a change until it becomes visible. Default: 0.
  Builder& SetLag(Duration value);

  std::unique_ptr<FakeInstanceList> Build() const;

 private:
  friend class FakeInstanceList;

  Runtime& runtime;
  std::string address = "127.0.0.1:0";
  Duration lag{0};
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_INSTANCE_LIST_H_
