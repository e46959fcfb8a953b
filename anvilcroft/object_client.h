#ifndef ANVILCROFT_OBJECT_CLIENT_H_
#define ANVILCROFT_OBJECT_CLIENT_H_

// Client of the platform's object store. Objects are named by the hash of their content, so a put
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
  // Longest wait for one answer.
  static constexpr Duration kAttemptTimeout = seconds(5);

  ObjectClient(HttpClient& http, Endpoint endpoint);

  // Stores `content` and returns its key. One attempt. Fails with kStoreUnavailable.
  Result<std::string> Put(Task& task, const std::string& content, TimePoint deadline);

  // Reads an object. One attempt. Fails with kStoreUnavailable, also if the object is missing: it
  // was stored before its key was written to any row.
  Result<std::string> Get(Task& task, const std::string& key, TimePoint deadline);

 private:
  HttpClient& http;
  Endpoint endpoint;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_OBJECT_CLIENT_H_
