#ifndef REVIEW_STANDINS_3_SITE_HPP_
#define REVIEW_STANDINS_3_SITE_HPP_

// A small site for the scripts of the third review: the platform's store behind an HTTP proxy that
// can be slow and can lose its history, fake engines of the project, and instances of
// target/anvilcroft as separate processes.

#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/http_client.h"
#include "anvilcroft/http_server.h"
#include "anvilcroft/runtime.h"
#include "fakes/child_process.h"
#include "fakes/platform_engine.h"
#include "fakes/platform_store.h"

namespace review {

using anvilcroft::Duration;
using anvilcroft::HttpReply;
using anvilcroft::HttpRequest;
using anvilcroft::HttpResponse;
using anvilcroft::Runtime;
using anvilcroft::Task;
using anvilcroft::TimePoint;

// Lines "seconds since the start: text" in record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : out(path) {}
  double Now() const;
  void Add(const std::string& text) { this->AddAt(this->Now(), text); }
  void AddAt(double at, const std::string& text);

 private:
  TimePoint started = anvilcroft::SteadyNow();
  std::ofstream out;
};

// The store as the instances reach it.
class StoreProxy {
 public:
  StoreProxy(Runtime& runtime, anvilcroft::fakes::PlatformStore& store);
  // `store_address` is that of the store itself. Returns the address of the proxy.
  anvilcroft::Result<std::string> Start(const std::string& store_address);

  Duration answer_time{0};    // time that each answer takes
  bool feeds_silent = false;  // change feeds deliver nothing until this is reset

 private:
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);
  void HandleFeed(Task& task, const HttpRequest& request, HttpReply& reply);
  anvilcroft::Result<HttpResponse> Forward(Task& task, const HttpRequest& request,
                                           const std::string& target);

  Runtime& runtime;
  anvilcroft::Endpoint store_endpoint;
  anvilcroft::HttpClient client;
  std::unique_ptr<anvilcroft::HttpServer> server;
};

struct Instance {
  std::string id;
  std::string front;
  std::string ready;
  std::string settings_file;
  std::string log_file;
  std::unique_ptr<anvilcroft::fakes::ChildProcess> process;
};

class Site {
 public:
  static constexpr char kHost[] = "h.example";
  static constexpr char kModel[] = "m";

  Site(Runtime& runtime, std::string binary, std::string folder);

  // Starts the store, the engines and the instances; waits until all instances are ready.
  bool Start(Task& task, int instances, int model_engines);
  // Starts the process of `instance`, which must not be running.
  bool StartProcess(Instance& instance);
  // Kills all instances.
  void Stop();

  // Sends a request with a new connection. Returns nullopt without an answer.
  std::optional<HttpResponse> Call(Task& task, const Instance& instance, const HttpRequest& request,
                                   Duration timeout);

  std::vector<Instance> instances;
  std::vector<std::unique_ptr<anvilcroft::fakes::PlatformEngine>> engines;
  std::vector<std::unique_ptr<anvilcroft::fakes::PlatformEngine>> apps;
  anvilcroft::fakes::PlatformStore store;
  StoreProxy proxy;

 private:
  bool AddEngine(std::vector<std::unique_ptr<anvilcroft::fakes::PlatformEngine>>& list,
                 const std::string& id, const std::string& service, const std::string& model);
  void WriteConfiguration();

  Runtime& runtime;
  std::string binary;
  std::string folder;
  anvilcroft::HttpClient client;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_SITE_HPP_
