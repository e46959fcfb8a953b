#ifndef ANVILCROFT_OBJECT_CLIENT_H_
#define ANVILCROFT_OBJECT_CLIENT_H_

// Client of the platform's object store. The key of an object is the hash of its content, so a put
// may be repeated and an object never changes.
//
//   Result<std::string> key = objects.Put(task, content, deadline);
//   Result<std::string> content = objects.Get(task, *key, deadline);

#include <string>

#include "anvilcroft/endpoint.h"
#include "anvilcroft/error.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/runtime.h"

namespace anvilcroft {

class ObjectClient {
 public:
  // Timeout of one attempt; the caller's deadline may be sooner.
  static constexpr Duration kAttemptTimeout = seconds(5);

  ObjectClient(HttpClient& http, Endpoint endpoint);

  // Stores `content` and returns its key. Makes one attempt. Fails with kStoreUnavailable.
  Result<std::string> Put(Task& task, const std::string& content, TimePoint deadline);

  // Reads an object. Makes one attempt. Fails with kStoreUnavailable, also if the object is missing
  // or its content does not match `key`: an object is always stored before its key is written to a
  // row, so a missing one is a fault of the store.
  Result<std::string> Get(Task& task, const std::string& key, TimePoint deadline);

 private:
  HttpClient& http;
  Endpoint endpoint;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_OBJECT_CLIENT_H_
