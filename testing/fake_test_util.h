#ifndef TESTING_FAKE_TEST_UTIL_H_
#define TESTING_FAKE_TEST_UTIL_H_

// Helpers for tests that call fakes in the same runtime.

#include <catch2/catch.hpp>
#include <string>

#include "anvilcroft/http_client.h"
#include "anvilcroft/json.h"
#include "testing/run_task.h"

namespace anvilcroft::fakes {

using testing::RunTask;

inline TimePoint DefaultDeadline() { return SteadyNow() + seconds(10); }

template <typename Fake>
Endpoint StartFake(Fake& fake) {
  return *ParseEndpoint(*fake.Start());
}

inline HttpRequest Post(const std::string& target, const nlohmann::json& body) {
  return HttpRequest::Builder().SetMethod("POST").SetTarget(target).SetJson(body.dump()).Build();
}

inline HttpRequest Get(const std::string& target) {
  return HttpRequest::Builder().SetTarget(target).Build();
}

// Returns the JSON body of `response`, which must have status 200.
inline nlohmann::json BodyOf(const Result<HttpResponse>& response) {
  INFO((response ? response->Body() : response.error().message));
  REQUIRE(response);
  CHECK(response->Status() == 200);
  return nlohmann::json::parse(response->Body());
}

}  // namespace anvilcroft::fakes

#endif  // TESTING_FAKE_TEST_UTIL_H_
