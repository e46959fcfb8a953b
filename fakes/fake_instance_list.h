#ifndef FAKES_FAKE_INSTANCE_LIST_H_
#define FAKES_FAKE_INSTANCE_LIST_H_

// The platform's list of targets (docs/design.md, section 5.4), which lags: a change becomes
// visible some time after it was made.
//
// POST /control/put {id, kind, service, address, zone, state} makes a change, as Put does.

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

  // Makes a change and returns its revision. Fails with kInvalidArgument on a malformed entry.
  Result<int64_t> Put(const nlohmann::json& instance);

  // Applies to changes that are not visible yet, too.
  void SetLag(Duration value) { this->lag = value; }

 private:
  struct Change {
    int64_t revision = 0;
    TimePoint made;
    nlohmann::json instance;
  };

  explicit FakeInstanceList(const Builder& builder);
  // Moves the changes whose lag is over into the visible list.
  void Advance(TimePoint now);
  nlohmann::json Since(int64_t since) const;

  FakeServer server;
  Duration lag;
  int64_t revision = 0;
  int64_t visible_revision = 0;
  std::deque<Change> pending;
  std::map<std::string, Change> visible;  // the newest visible change of each instance
  nlohmann::json log = nlohmann::json::array();
};

class FakeInstanceList::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetAddress(std::string value);
  // Time from a change to its visibility. Default 0.
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
