#ifndef REVIEW_STANDINS_SITE_HPP_
#define REVIEW_STANDINS_SITE_HPP_

// A small deployment for the review: processes of anvilcroft, and stand-ins of the platform, of
// engines and of callers, all on loopback addresses.
//
// The metadata store is the project's own stand-in (fakes/platform_store.h), which runs on a thread
// of its own. Engines are small blocking servers with one thread for each connection, so that a
// case can write any bytes to a connection.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "anvilcroft/runtime.h"
#include "fakes/fake_link.h"
#include "fakes/platform_store.h"

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline constexpr char kHost[] = "h.example";
inline constexpr char kModel[] = "m";
// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

void SleepMs(int64_t ms);

// Writes what was sent, answered and run to record.txt, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out(file) {}
  void Add(const std::string& line);
  int64_t NowMs() const;

 private:
  std::mutex mutex;
  std::ofstream out;
  Clock::time_point started = Clock::now();
};

struct Message {
  std::string method;  // of a request
  std::string target;
  int status = 0;                              // of a response; 0: none
  std::map<std::string, std::string> headers;  // by name in lower case
  std::string body;

  std::string Header(const std::string& name) const;
};

// One accepted connection of an engine.
class Connection {
 public:
  explicit Connection(int fd) : fd(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;

  bool ReadRequest(Message& request);
  bool Write(const std::string& bytes);
  // Whether the peer has closed the connection.
  bool PeerClosed();
  // Bytes that are written when the next request has arrived, before its response.
  std::string late_copy;

  // Closes the connection with a reset.
  void Reset();

 private:
  int fd;
  std::string buffer;
};

// Sends one request on a new connection and reads the whole response.
Message Call(const std::string& address, const std::string& method, const std::string& target,
             const std::map<std::string, std::string>& headers, const std::string& body,
             int timeout_ms);

std::string Reply(int status, const std::map<std::string, std::string>& headers,
                  const std::string& body);
std::string Base64(const std::string& bytes);

class Site;

// An engine of a service: of a model if `model` is not empty, otherwise of an app.
class Engine {
 public:
  Engine(Site& site, std::string id, std::string service, std::string zone, std::string model);
  ~Engine();

  // Replaces the handling of requests that are neither orders nor reports. Returns false if the
  // connection is to be closed.
  using Handler = std::function<bool(Connection&, const Message&)>;
  Handler handler;

  // Called when a run of an item begins and when it ends.
  std::function<void(const std::string& item)> on_run_begin;
  std::function<void(const std::string& item, bool whole)> on_run_end;

  // The standard handling. `events`: number of events of a text.
  bool Generate(Connection& connection, const Message& request, int events, int event_ms);
  bool Work(Connection& connection, const Message& request, int work_ms);
  // The data of event `number` of `item`, which every engine produces alike.
  static std::string EventData(const std::string& item, int number);
  static std::string TextOf(const std::string& item, int events);

  // Whether a second copy of the answer to a whole run of `item` follows late, at the point where
  // the next response on the connection is expected.
  std::function<bool(const std::string& item)> duplicate;

  // Ends the process of the engine: refuses connections and closes the open ones. For good.
  void Crash();
  bool Crashed() const { return this->crashed; }

  std::string Entry() const;
  const std::string& Id() const { return this->id; }
  const std::string& Address() const { return this->address; }
  int64_t Version() const { return this->version; }
  int Running() const { return this->running; }
  bool Busy() const { return this->busy; }

  int events = 20;
  int event_ms = 20;
  int work_ms = 20;
  int slots = 8;

 private:
  void Accept();
  void Serve(std::shared_ptr<Connection> connection);
  bool HandleOrder(Connection& connection, const Message& request);

  Site& site;
  std::string id;
  std::string service;
  std::string zone;
  std::string model;
  std::string address;
  int listener = -1;
  int64_t born = 0;
  std::atomic<int64_t> version{1};
  std::atomic<int> running{0};
  std::atomic<bool> busy{false};
  std::atomic<bool> crashed{false};
  std::mutex mutex;
  int64_t orders = 0;
  int64_t highest_fence = 0;
  std::vector<std::weak_ptr<Connection>> connections;
};

// A machine with one process of anvilcroft.
struct Machine {
  std::string name;
  std::string zone;
  std::string front;
  std::string ready;
  std::string internal;
  std::string settings_file;
  std::string log_file;
  pid_t pid = 0;         // 0: no process
  int64_t start_at = 0;  // when the platform starts the process again; 0: it does not
  int memory_ends = 0;   // processes that the platform killed for their memory
  int64_t peak_kb = 0;   // of the resident memory, over all processes
};

struct SiteOptions {
  std::string binary;     // anvilcroft
  std::string directory;  // for settings and logs
  int machines = 3;
  int memory_mb = 270;  // MemoryMb
  // Time that the store takes for an answer, and one-way delays of the links from the machines to
  // it, in ms. Without delays the machines are connected to it directly.
  int store_ms = 0;
  std::vector<double> link_ms;
  // Time between the starts of the first machine and of the others.
  int stagger_ms = 0;
};

class Site {
 public:
  Site(SiteOptions options, Record& record);
  ~Site();

  // Starts the store, writes `configuration` and starts the machines. Returns false on failure.
  bool Start(const Json& configuration);
  Engine& AddEngine(const std::string& id, const std::string& service, const std::string& zone,
                    const std::string& model);
  // Ends all processes and threads.
  void Stop();

  void Put(const std::string& table, const std::string& key, const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  void NameVersion(int64_t version);
  // Kills the process of a machine, which the platform starts again.
  void Kill(const std::string& name);
  // Name of the machine that holds the lease on the batch jobs; empty: none.
  std::string Owner();
  // Whether the readiness check of all machines succeeds.
  bool AllReady();
  // Waits until all are ready, for at most `ms`.
  bool WaitReady(int64_t ms);

  std::vector<Machine>& Machines() { return this->machines; }
  std::vector<std::unique_ptr<Engine>>& Engines() { return this->engines; }
  Record& Log() { return this->record; }
  std::mutex& MachinesMutex() { return this->machines_mutex; }
  bool Stopping() const { return this->stopping; }

 private:
  // Returns the address at which machine `index` reaches the store.
  std::string StoreAddress(std::size_t index);
  void StartProcess(Machine& machine);
  // What the platform does: kills a process over MemoryMb and starts ended processes again.
  void Supervise();
  void Register();

  SiteOptions options;
  Record& record;
  anvilcroft::Runtime runtime;
  anvilcroft::fakes::PlatformStore store;
  std::string store_address;
  struct Link {
    anvilcroft::Runtime runtime;
    std::unique_ptr<anvilcroft::fakes::FakeLink> link;
  };
  std::list<Link> links;
  std::vector<std::unique_ptr<Engine>> engines;
  std::mutex machines_mutex;
  std::vector<Machine> machines;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> threads;
};

// A route of a configuration.
Json Route(const std::string& name, const std::string& kind, const std::string& service);
// A configuration with the routes `rollout` (of the model engines) and `score` and `list` (of the
// app engines).
Json StandardConfiguration();

// An item of a step, whose text is scored by the route `score`.
Json Item(const std::string& id, const std::string& group);
Json Step(int step, int64_t min_version, int target_groups, const Json& items);

// Submits a batch job until it is accepted, for at most `ms`. Returns whether it was.
bool Submit(Site& site, const std::string& id, const Json& step, int64_t ms);
// Reads the results from position `from` on from any machine. Status 0 if there was no answer.
Message ReadResults(Site& site, const std::string& id, int64_t from, int timeout_ms = 2500);
// Ends a batch job, for at most `ms`.
bool End(Site& site, const std::string& id, int64_t ms);

// Arguments of a case: BINARY DIRECTORY RECORD TROUBLE
struct Arguments {
  std::string binary;
  std::string directory;
  std::string record;
  bool trouble = true;
};
bool ParseArguments(int argc, char** argv, Arguments& arguments);

}  // namespace review

#endif  // REVIEW_STANDINS_SITE_HPP_
