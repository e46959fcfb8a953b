#ifndef REVIEW_STANDINS_2_ENGINE_HPP_
#define REVIEW_STANDINS_2_ENGINE_HPP_

// A stand-in of an engine as PROTOCOL.md describes it: a model engine with runs, weight versions
// and orders, or a plain server.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "anvilcroft/runtime.h"
#include "fakes/fake_server.h"

namespace anvilcroft::review {

// What happened at an engine, for the record and the check.
struct EngineEvent {
  TimePoint at;
  std::string engine;
  std::string what;     // run, end, order, load, lost
  std::string id;       // of the request or the order's holder
  int64_t number = 0;   // events made when a run ended, or the fencing token
  int64_t version = 0;  // of the weights
  int status = 0;
};

class Engine {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string model;  // empty: a plain server
    int slots = 6;
    Duration event_time = milliseconds(50);
    Duration load_time = milliseconds(900);
    std::size_t event_bytes = 0;  // the data of an event is padded to this
    bool checks_fences = true;
    // The number of events of an item.
    std::function<int(const std::string& item)> events_of = [](const std::string&) { return 10; };
  };

  Engine(Runtime& runtime, Options options, std::function<void(EngineEvent)> record);

  Result<std::string> Start();
  // Ends for good: open connections break, and the address refuses new ones.
  void EndForGood();
  bool Ended() const { return this->server.Crashed(); }
  // The entry in the list of engines.
  std::string Entry(int64_t beat) const;

  const std::string& Id() const { return this->options.id; }
  int Slots() const { return this->options.slots; }
  bool HasModel() const { return !this->options.model.empty(); }
  int64_t Version() const { return this->version; }
  // The ids of the requests that run now.
  std::vector<std::string> Running() const;
  // The data of one event, and of all events joined by line feeds, as every engine makes them.
  std::string DataOf(const std::string& item, int number) const;
  std::string TextOf(const std::string& item) const;

 private:
  void Handle(Task& task, const HttpRequest& request, HttpReply& reply);
  void Run(Task& task, const HttpRequest& request, HttpReply& reply);
  void Serve(Task& task, const HttpRequest& request, HttpReply& reply);
  void Order(Task& task, const HttpRequest& request, HttpReply& reply);
  void Report(Task& task, HttpReply& reply);
  void Refuse(Task& task, int status, const std::string& id, HttpReply& reply);
  void Record(const std::string& what, const std::string& id, int64_t number, int status = 0);

  Runtime& runtime;
  Options options;
  std::function<void(EngineEvent)> record;
  fakes::FakeServer server;
  std::string address;
  std::multimap<std::string, int> running;  // requests, and the events that each has made
  int64_t version = 1;
  int64_t orders = 0;
  int64_t highest_fence = 0;
  bool busy = false;
  Event changed;
};

}  // namespace anvilcroft::review

#endif  // REVIEW_STANDINS_2_ENGINE_HPP_
