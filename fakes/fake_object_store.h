#ifndef FAKES_FAKE_OBJECT_STORE_H_
#define FAKES_FAKE_OBJECT_STORE_H_

// An in-memory fake of the platform's object store: PUT, GET and DELETE /v1/objects/{key}. A slash
// in a key is percent-encoded. The fault lose_answers affects PUT and DELETE: the change is applied
// and its response is lost.

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "fakes/fake_server.h"

namespace anvilcroft::fakes {

class FakeObjectStore {
 public:
  class Builder;

  Result<std::string> Start() { return this->server.Start(); }
  FakeServer& Server() { return this->server; }

  const std::map<std::string, std::string>& Objects() const { return this->objects; }

 private:
  explicit FakeObjectStore(const Builder& builder);
  void Put(Task& task, const std::string& key, const std::string& body, HttpReply& reply);
  void Get(Task& task, const std::string& key, HttpReply& reply);
  void Delete(Task& task, const std::string& key, HttpReply& reply);
  // Responds to a PUT or DELETE, or aborts the connection if lose_answers is set.
  void RespondToChange(Task& task, HttpReply& reply);

  FakeServer server;
  std::map<std::string, std::string> objects;
  uint64_t puts = 0;
  uint64_t gets = 0;
  uint64_t deletes = 0;
};

class FakeObjectStore::Builder {
 public:
  explicit Builder(Runtime& runtime) : runtime(runtime) {}

  Builder& SetAddress(std::string value);

  std::unique_ptr<FakeObjectStore> Build() const;

 private:
  friend class FakeObjectStore;

  Runtime& runtime;
  std::string address = "127.0.0.1:0";
};

}  // namespace anvilcroft::fakes

#endif  // FAKES_FAKE_OBJECT_STORE_H_
