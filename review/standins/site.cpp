#include "review/standins/site.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "anvilcroft/base64.h"
#include "fakes/free_address.h"

namespace review {
namespace {

constexpr int kHeartbeatMs = 400;     // of an engine's entry, which changes with its state
constexpr int kRestartDelayMs = 500;  // after the end of a process
constexpr int kSuperviseMs = 5;       // interval of the checks of memory and ends
constexpr int kLoadMs = 900;          // time to load weights

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

sockaddr_in SocketAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1)));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

void SetTimeout(int fd, int ms) {
  const timeval value{ms / 1000, (ms % 1000) * 1000};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
  ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
}

bool SendAll(int fd, const char* data, std::size_t size) {
  while (size > 0) {
    const ssize_t sent = ::send(fd, data, size, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    data += sent;
    size -= static_cast<std::size_t>(sent);
  }
  return true;
}

bool Receive(int fd, std::string& buffer) {
  char bytes[65536];
  const ssize_t count = ::recv(fd, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

// Parses the header block in buffer[0, end), without the empty line.
void ParseHead(const std::string& head, Message& message) {
  std::size_t at = head.find("\r\n");
  const std::string first = head.substr(0, at);
  const std::size_t space = first.find(' ');
  if (first.compare(0, 5, "HTTP/") == 0) {
    message.status = std::atoi(first.c_str() + space + 1);
  } else {
    message.method = first.substr(0, space);
    message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
  }
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at == std::string::npos ? at : at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message.headers[Lower(line.substr(0, colon))] = line.substr(value);
  }
}

// Reads one message: with a length, in chunks, or (responses) up to the end of the connection.
bool ReadMessage(int fd, std::string& buffer, Message& message, bool response) {
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Receive(fd, buffer)) return false;
  }
  ParseHead(buffer.substr(0, end), message);
  buffer.erase(0, end + 4);
  if (Lower(message.Header("transfer-encoding")) == "chunked") {
    while (true) {
      std::size_t line = 0;
      while ((line = buffer.find("\r\n")) == std::string::npos) {
        if (!Receive(fd, buffer)) return false;
      }
      const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
      while (buffer.size() < line + 2 + size + 2) {
        if (!Receive(fd, buffer)) return false;
      }
      message.body += buffer.substr(line + 2, size);
      buffer.erase(0, line + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  const std::string length = message.Header("content-length");
  if (!length.empty()) {
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer.size() < size) {
      if (!Receive(fd, buffer)) return false;
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
  }
  if (!response) return true;
  while (Receive(fd, buffer)) {
  }
  message.body = std::exchange(buffer, {});
  return true;
}

// The resident memory of a process in KiB, or 0.
int64_t ResidentKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.compare(0, 6, "VmRSS:") == 0) return std::atoll(line.c_str() + 6);
  }
  return 0;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Chunk(const std::string& bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

int64_t Record::NowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - this->started)
      .count();
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  this->out << this->NowMs() << " " << line << std::endl;
}

std::string Message::Header(const std::string& name) const {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? "" : found->second;
}

Connection::~Connection() { ::close(this->fd); }

bool Connection::ReadRequest(Message& request) {
  return ReadMessage(this->fd, this->buffer, request, false);
}

bool Connection::Write(const std::string& bytes) {
  return SendAll(this->fd, bytes.data(), bytes.size());
}

bool Connection::PeerClosed() {
  char byte = 0;
  const ssize_t count = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Reset() {
  const linger now{1, 0};
  ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::shutdown(this->fd, SHUT_RDWR);
}

Message Call(const std::string& address, const std::string& method, const std::string& target,
             const std::map<std::string, std::string>& headers, const std::string& body,
             int timeout_ms) {
  Message response;
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetTimeout(fd, timeout_ms);
  const sockaddr_in peer = SocketAddress(address);
  std::string request = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) request += name + ": " + value + "\r\n";
  request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  const bool done = ::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0 &&
                    SendAll(fd, request.data(), request.size()) &&
                    ReadMessage(fd, buffer, response, true);
  ::close(fd);
  if (!done) response = Message();
  return response;
}

std::string Reply(int status, const std::map<std::string, std::string>& headers,
                  const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Base64(const std::string& bytes) { return anvilcroft::Base64Encode(bytes); }

Engine::Engine(Site& site, std::string id, std::string service, std::string zone, std::string model)
    : site(site),
      id(std::move(id)),
      service(std::move(service)),
      zone(std::move(zone)),
      model(std::move(model)),
      address(anvilcroft::fakes::FreeAddress()),
      born(UnixMs()) {
  this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in local = SocketAddress(this->address);
  ::bind(this->listener, reinterpret_cast<const sockaddr*>(&local), sizeof local);
  ::listen(this->listener, 128);
  std::thread([this] { this->Accept(); }).detach();
}

Engine::~Engine() = default;

void Engine::Accept() {
  while (!this->crashed) {
    pollfd ready{this->listener, POLLIN, 0};
    if (::poll(&ready, 1, 20) <= 0) continue;
    const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<Connection>(fd);
    {
      const std::lock_guard lock(this->mutex);
      this->connections.push_back(connection);
    }
    std::thread([this, connection] { this->Serve(connection); }).detach();
  }
  ::close(this->listener);
}

void Engine::Crash() {
  this->crashed = true;
  SleepMs(50);  // until the listener is closed
  const std::lock_guard lock(this->mutex);
  for (const auto& weak : this->connections) {
    if (const auto open = weak.lock()) open->Reset();
  }
}

void Engine::Serve(std::shared_ptr<Connection> connection) {
  while (!this->crashed && !this->site.Stopping()) {
    Message request;
    if (!connection->ReadRequest(request)) return;
    if (this->crashed) return;
    if (!connection->late_copy.empty()) {
      this->site.Log().Add("engine " + this->id + " sends the late copy, then answers " +
                           request.method + " " + request.target + " " +
                           request.Header("x-attempt-id"));
      connection->Write(std::exchange(connection->late_copy, {}));
    }
    const std::string attempt = request.Header("x-attempt-id");
    const std::string expected = request.Header("x-expect-instance");
    if (!expected.empty() && expected != this->id) {
      connection->Write(Reply(421, {{"X-Attempt-Id", attempt}}, "{}"));
      continue;
    }
    bool open = true;
    if (request.target == "/api/order") {
      open = this->HandleOrder(*connection, request);
    } else if (request.target == "/api/report") {
      const std::lock_guard lock(this->mutex);
      const Json report = {{"Stage", "hybrid"},
                           {"Models", {{{"Name", this->model}, {"Version", this->version.load()}}}},
                           {"Busy", this->busy.load()},
                           {"Sequence", this->orders},
                           {"Waiting", 0},
                           {"Running", this->running.load()},
                           {"born", this->born}};
      open = connection->Write(Reply(200, {{"Content-Type", "application/json"}}, report.dump()));
    } else if (request.target == "/healthz") {
      open = connection->Write(Reply(200, {{"X-Instance-Id", this->id}}, ""));
    } else if (this->handler) {
      open = this->handler(*connection, request);
    } else if (!this->model.empty()) {
      open = this->Generate(*connection, request, this->events, this->event_ms);
    } else {
      open = this->Work(*connection, request, this->work_ms);
    }
    if (!open) return;
  }
}

std::string Engine::EventData(const std::string& item, int number) {
  return item + "-" + std::to_string(number);
}

std::string Engine::TextOf(const std::string& item, int events) {
  std::string text;
  for (int i = 1; i <= events; ++i) text += (i > 1 ? "\n" : "") + EventData(item, i);
  return text;
}

bool Engine::Generate(Connection& connection, const Message& request, int count, int pause_ms) {
  const std::string attempt = request.Header("x-attempt-id");
  const std::string wanted = request.Header("x-expect-version");
  const int64_t runs_under = this->version;
  const int after = std::atoi(request.Header("last-event-id").c_str());
  if (!wanted.empty() && std::atoll(wanted.c_str()) != runs_under) {
    this->site.Log().Add("engine " + this->id + " item " + attempt + " 421 version " + wanted);
    return connection.Write(Reply(421, {{"X-Attempt-Id", attempt}}, "{}"));
  }
  if (this->busy || this->running >= this->slots) {
    return connection.Write(Reply(503, {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, "{}"));
  }
  ++this->running;
  this->site.Log().Add("engine " + this->id + " runs item " + attempt + " version " +
                       std::to_string(runs_under) + " after event " + std::to_string(after));
  if (this->on_run_begin) this->on_run_begin(attempt);
  std::string answer;
  const auto write = [&](const std::string& bytes) {
    answer += bytes;
    return connection.Write(bytes);
  };
  bool open = write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: stamp." +
                    attempt + "\r\nX-Weight-Versions: " + std::to_string(runs_under) +
                    "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = after + 1; open && i <= count; ++i) {
    SleepMs(pause_ms);
    open = !this->crashed && !connection.PeerClosed() &&
           write(Chunk("id: " + std::to_string(i) + "\ndata: " + EventData(attempt, i) + "\n\n"));
  }
  open = open && write("0\r\n\r\n");
  if (open && this->duplicate && this->duplicate(attempt)) connection.late_copy = answer;
  --this->running;
  if (this->on_run_end) this->on_run_end(attempt, open);
  this->site.Log().Add("engine " + this->id + (open ? " finished item " : " broke off item ") +
                       attempt);
  return open;
}

bool Engine::Work(Connection& connection, const Message& request, int pause_ms) {
  const std::string attempt = request.Header("x-attempt-id");
  SleepMs(pause_ms);
  return connection.Write(Reply(200,
                                {{"X-Attempt-Id", attempt},
                                 {"X-Server-Stamp", "stamp." + this->id + "." + attempt},
                                 {"X-Instance-Load", "1,0,8"}},
                                "answer to " + attempt));
}

bool Engine::HandleOrder(Connection& connection, const Message& request) {
  const Json order = Json::parse(request.body, nullptr, false);
  int status = 400;
  int64_t next = 0;
  {
    const std::lock_guard lock(this->mutex);
    if (order.is_object() && order.contains("Holder") && order.contains("Fence")) {
      next = order.value("Version", int64_t{0});
      if (order["Fence"].get<int64_t>() < this->highest_fence) {
        status = 412;
      } else if (this->busy || order.value("Expected", this->orders) != this->orders) {
        status = 409;
      } else if (next == this->version) {
        status = 200;
      } else {
        status = 202;
        this->highest_fence = order["Fence"].get<int64_t>();
        ++this->orders;
        this->busy = true;
      }
    }
  }
  this->site.Log().Add("engine " + this->id + " order " + request.body + " -> " +
                       std::to_string(status));
  if (status == 202) {
    std::thread([this, next] {
      // Runs finish first (mode await).
      while (this->running > 0 && !this->crashed && !this->site.Stopping()) SleepMs(5);
      SleepMs(kLoadMs);
      this->version = next;
      this->busy = false;
      this->site.Log().Add("engine " + this->id + " has version " + std::to_string(next));
    }).detach();
  }
  return connection.Write(Reply(status, {{"Content-Type", "application/json"}}, "{}"));
}

std::string Engine::Entry() const {
  Json entry = {{"Service", this->service}, {"Address", this->address},
                {"Zone", this->zone},       {"Version", "1.0"},
                {"Slots", this->slots},     {"State", "ready"},
                {"ColdRemainingMs", 0},     {"Sequence", 1},
                {"born", this->born}};
  if (!this->model.empty()) {
    entry["Stage"] = "hybrid";
    entry["Models"] = {{{"Name", this->model}, {"Version", this->version.load()}}};
  }
  return entry.dump();
}

Site::Site(SiteOptions site_options, Record& record)
    : options(std::move(site_options)), record(record), store(this->runtime) {}

Site::~Site() { this->Stop(); }

Engine& Site::AddEngine(const std::string& id, const std::string& service, const std::string& zone,
                        const std::string& model) {
  this->engines.push_back(std::make_unique<Engine>(*this, id, service, zone, model));
  return *this->engines.back();
}

void Site::Put(const std::string& table, const std::string& key, const std::string& value) {
  this->runtime.Spawn(
      [this, table, key, value](anvilcroft::Task&) { this->store.Put(table, key, value); });
}

void Site::Remove(const std::string& table, const std::string& key) {
  this->runtime.Spawn([this, table, key](anvilcroft::Task&) { this->store.Remove(table, key); });
}

void Site::NameVersion(int64_t version) {
  this->record.Add("trainer names version " + std::to_string(version));
  this->Put("op", std::string("version/") + kModel,
            Json{{"Model", kModel}, {"Version", version}}.dump());
}

bool Site::Start(const Json& configuration) {
  const auto started = this->store.Start();
  if (!started) return false;
  this->store_address = *started;
  anvilcroft::fakes::FaultPlan answers;
  answers.mode = anvilcroft::fakes::FaultPlan::Mode::kSlow;
  answers.delay_ms = this->options.store_ms;
  if (this->options.store_ms > 0) this->store.Server().SetFaults(answers);
  this->threads.emplace_back([this] { this->runtime.Run(); });
  this->Put("op", "config", configuration.dump());
  this->threads.emplace_back([this] { this->Register(); });
  SleepMs(100);
  static const char* const kZones[] = {"a", "b", "c"};
  {
    const std::lock_guard lock(this->machines_mutex);
    for (int i = 0; i < this->options.machines; ++i) {
      Machine machine;
      machine.name = "front-" + std::to_string(i + 1);
      machine.zone = kZones[i % 3];
      machine.front = anvilcroft::fakes::FreeAddress();
      machine.ready = anvilcroft::fakes::FreeAddress();
      machine.internal = anvilcroft::fakes::FreeAddress();
      machine.settings_file = this->options.directory + "/" + machine.name + ".yaml";
      machine.log_file = this->options.directory + "/" + machine.name + ".log";
      // As deploy/settings.yaml, filled in.
      std::ofstream(machine.settings_file)
          << "instance_id: " << machine.name << "\nzone: " << machine.zone
          << "\nregion: r\ncpu_share: 0.5\nstore_writes_per_s: 800\nlog_level: info\naddress:\n"
          << "  front: \"" << machine.front << "\"\n  directory: \""
          << anvilcroft::fakes::FreeAddress() << "\"\n  ready: \"" << machine.ready
          << "\"\n  metrics: \"" << machine.internal << "\"\n  store: \""
          << this->StoreAddress(this->machines.size())
          << "\"\ntiming:\n  grace_s: 8\n  address_ttl_s: 1.5\n  owner_lease_ms: 3000\n"
          << "  cancel_ms: 3000\n";
      this->machines.push_back(machine);
      this->StartProcess(this->machines.back());
      if (i == 0) SleepMs(this->options.stagger_ms);
    }
  }
  this->threads.emplace_back([this] { this->Supervise(); });
  return true;
}

std::string Site::StoreAddress(std::size_t index) {
  if (index >= this->options.link_ms.size()) return this->store_address;
  const auto delay = std::chrono::duration_cast<anvilcroft::Duration>(
      std::chrono::duration<double, std::milli>(this->options.link_ms[index]));
  Link& link = this->links.emplace_back();
  link.link = anvilcroft::fakes::FakeLink::Builder(link.runtime)
                  .SetTarget(*anvilcroft::ParseEndpoint(this->store_address))
                  .SetDelay(delay)
                  .Build();
  const auto address = link.link->Start();
  this->threads.emplace_back([&link] { link.runtime.Run(); });
  return address ? *address : "";
}

void Site::Kill(const std::string& name) {
  const std::lock_guard lock(this->machines_mutex);
  for (const Machine& machine : this->machines) {
    if (machine.name != name || machine.pid == 0) continue;
    this->record.Add("the process of " + name + " is killed");
    ::kill(machine.pid, SIGKILL);
  }
}

std::string Site::Owner() {
  for (const Machine& machine : this->machines) {
    const Message answer = Call(machine.internal, "GET", "/lease", {{"Host", kHost}}, "", 1000);
    const Json record = Json::parse(answer.body, nullptr, false);
    if (answer.status == 200 && record.is_object()) return record.value("holder", "");
  }
  return "";
}

void Site::StartProcess(Machine& machine) {
  machine.start_at = 0;
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no process outlives this program
    const int log = ::open(machine.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    ::execl(this->options.binary.c_str(), this->options.binary.c_str(), "serve", "--settings",
            machine.settings_file.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  machine.pid = pid;
  this->record.Add("started " + machine.name + " pid " + std::to_string(pid));
}

void Site::Supervise() {
  const int64_t limit_kb = int64_t{this->options.memory_mb} * 1024;
  while (!this->stopping) {
    SleepMs(kSuperviseMs);
    const std::lock_guard lock(this->machines_mutex);
    for (Machine& machine : this->machines) {
      if (machine.pid == 0) {
        if (machine.start_at != 0 && this->record.NowMs() >= machine.start_at) {
          this->StartProcess(machine);
        }
        continue;
      }
      int status = 0;
      if (::waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
        this->record.Add("ended " + machine.name + " pid " + std::to_string(machine.pid) +
                         (WIFSIGNALED(status) ? " signal " + std::to_string(WTERMSIG(status))
                                              : " code " + std::to_string(WEXITSTATUS(status))));
        machine.pid = 0;
        machine.start_at = this->record.NowMs() + kRestartDelayMs;
        continue;
      }
      const int64_t resident_kb = ResidentKb(machine.pid);
      machine.peak_kb = std::max(machine.peak_kb, resident_kb);
      if (resident_kb > limit_kb) {
        ++machine.memory_ends;
        this->record.Add("the platform kills " + machine.name + ": " +
                         std::to_string(resident_kb / 1024) + " MiB resident, MemoryMb is " +
                         std::to_string(this->options.memory_mb));
        ::kill(machine.pid, SIGKILL);
      }
    }
  }
}

void Site::Register() {
  std::map<std::string, std::string> written;
  while (!this->stopping) {
    for (const auto& engine : this->engines) {
      if (engine->Crashed()) continue;
      const std::string entry = engine->Entry();
      if (written[engine->Id()] == entry) continue;
      written[engine->Id()] = entry;
      this->Put("servers", engine->Id(), entry);
    }
    SleepMs(kHeartbeatMs);
  }
}

bool Site::AllReady() {
  const std::lock_guard lock(this->machines_mutex);
  for (const Machine& machine : this->machines) {
    if (Call(machine.ready, "GET", "/api/readyz", {{"Host", kHost}}, "", 500).status != 200) {
      return false;
    }
  }
  return true;
}

bool Site::WaitReady(int64_t ms) {
  const int64_t until = this->record.NowMs() + ms;
  while (this->record.NowMs() < until) {
    if (this->AllReady()) return true;
    SleepMs(100);
  }
  return false;
}

void Site::Stop() {
  if (this->stopping.exchange(true)) return;
  this->runtime.Spawn([this](anvilcroft::Task&) { this->runtime.Stop(); });
  for (Link& link : this->links) {
    link.runtime.Spawn([&link](anvilcroft::Task&) { link.runtime.Stop(); });
  }
  for (std::thread& thread : this->threads) thread.join();
  const std::lock_guard lock(this->machines_mutex);
  for (Machine& machine : this->machines) {
    if (machine.pid == 0) continue;
    ::kill(machine.pid, SIGCONT);
    ::kill(machine.pid, SIGKILL);
    ::waitpid(machine.pid, nullptr, 0);
    machine.pid = 0;
  }
  for (Link& link : this->links) link.runtime.EndTasks();
  this->runtime.EndTasks();
}

Json Route(const std::string& name, const std::string& kind, const std::string& service) {
  return {{"Name", name},  {"Host", kHost},          {"Prefix", "/" + name + "/"},
          {"Kind", kind},  {"Service", service},     {"TimeoutMs", 1500},
          {"Priority", 2}, {"TargetLatencyMs", 200}, {"MaxAttempts", 4}};
}

Json StandardConfiguration() {
  Json rollout = Route("rollout", "rollout", "model");
  rollout["TimeoutMs"] = 10000;
  rollout["TargetLatencyMs"] = 400;
  rollout["MaxAttempts"] = 3;
  rollout["Priority"] = 1;
  rollout["ResultTargetMs"] = 7500;
  rollout["ItemTtlS"] = 40;
  return {{"Version", 3},
          {"Routes", {rollout, Route("score", "safe", "app"), Route("list", "safe", "app")}},
          {"Services",
           {{{"Name", "app"}, {"HealthPath", "/healthz"}, {"MaxConns", 110}},
            {{"Name", "model"},
             {"HealthPath", "/healthz"},
             {"MaxConns", 150},
             {"Engine", {{"Slots", 8}, {"Stride", 32}, {"Models", {{{"Name", kModel}}}}}}}}},
          {"Limits",
           {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 33554432},
            {"HeaderTimeoutMs", 5000},
            {"IdleTimeoutMs", 15000}}}};
}

Json Item(const std::string& id, const std::string& group) {
  return {{"Id", id},
          {"Path", "/rollout/1"},
          {"Headers", {{"X-Model", kModel}, {"X-Token-Counts", "100,640"}}},
          {"Body", Base64("prompt of " + group)},
          {"Tokens", 740},
          {"Group", group},
          {"Scorer",
           {{"Id", "s" + id},
            {"Host", kHost},
            {"Path", "/score/1"},
            {"Body", Base64("score of " + id)}}}};
}

Json Step(int step, int64_t min_version, int target_groups, const Json& items) {
  return {{"Step", step},
          {"Model", kModel},
          {"MinVersion", min_version},
          {"TargetGroups", target_groups},
          {"Items", items}};
}

bool Submit(Site& site, const std::string& id, const Json& step, int64_t ms) {
  const int64_t until = site.Log().NowMs() + ms;
  for (std::size_t i = 0; site.Log().NowMs() < until; ++i) {
    const std::string front = site.Machines()[i % site.Machines().size()].front;
    const Message answer = Call(front, "POST", "/rollout/" + id,
                                {{"Host", kHost},
                                 {"X-Attempt-Id", id},
                                 {"X-Deadline-Ms", "2000"},
                                 {"Content-Type", "application/json"}},
                                step.dump(), 2000);
    site.Log().Add("submitted " + id + " -> " + std::to_string(answer.status));
    if (answer.status == 202) return true;
    SleepMs(100);
  }
  return false;
}

Message ReadResults(Site& site, const std::string& id, int64_t from, int timeout_ms) {
  static std::atomic<std::size_t> next{0};
  const std::string front = site.Machines()[next++ % site.Machines().size()].front;
  return Call(front, "GET", "/api/lots/" + id + "?After=" + std::to_string(from),
              {{"Host", kHost}, {"X-Wait-Ms", "300"}}, "", timeout_ms);
}

bool End(Site& site, const std::string& id, int64_t ms) {
  const int64_t until = site.Log().NowMs() + ms;
  for (std::size_t i = 0; site.Log().NowMs() < until; ++i) {
    const std::string front = site.Machines()[i % site.Machines().size()].front;
    const Message answer = Call(front, "DELETE", "/api/lots/" + id, {{"Host", kHost}}, "", 2500);
    site.Log().Add("ended " + id + " -> " + std::to_string(answer.status));
    if (answer.status == 200) return true;
    SleepMs(100);
  }
  return false;
}

bool ParseArguments(int argc, char** argv, Arguments& arguments) {
  if (argc != 5) return false;
  ::signal(SIGPIPE, SIG_IGN);
  arguments.binary = argv[1];
  arguments.directory = argv[2];
  arguments.record = argv[3];
  arguments.trouble = std::string(argv[4]) != "0";
  return true;
}

}  // namespace review
