// Tests answers without end to what is neither an item nor a stream: requests, reports, orders,
// relayed requests and calls to the store.

#include <catch2/catch.hpp>

#include "anvilcroft/http_server.h"
#include "anvilcroft/target_relay.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"
#include "testing/platform_endless_forms.h"
#include "testing/platform_fixture.h"

namespace anvilcroft {
namespace {

using testing::EndlessForm;
using testing::EndlessForms;
using testing::kMiB;
using testing::PeakMemory;

// Answers of up to HttpClient::kMaxResponseBytes are kept, as they grow, in up to three copies.
constexpr std::size_t kMaxGrowth = 48 * kMiB;

// A peer that answers every request in one form without end.
class EndlessPeer {
 public:
  explicit EndlessPeer(EndlessForm form)
      : form(std::move(form)),
        listener(this->runtime, [this](Task& task, testing::RawListener::Socket& socket) {
          const auto id = testing::ReadRequestId(task, socket);
          if (!id) return;
          ++this->requests;
          testing::WriteEndless(task, socket, this->form, *id);
          ++this->closed;
        }) {}
  ~EndlessPeer() { this->runtime.EndTasks(); }

  TargetEntry Entry() const {
    TargetEntry entry;
    entry.id = "t";
    entry.address = this->listener.Address();
    return entry;
  }

  // Waits until the reader has closed all connections.
  void AwaitClosed(Task& task) {
    CHECK(testing::WaitUntil(
        task, [&] { return this->closed == this->requests; }, seconds(10)));
  }

  Runtime runtime;
  int requests = 0;
  int closed = 0;

 private:
  EndlessForm form;
  testing::RawListener listener;
};

CallOptions Within(Duration time) { return CallOptions(SteadyNow() + time, time); }

// Sends a request to `peer` and checks that it fails, takes little memory and ends the answer.
void CheckForward(Task& task, platform::EngineClient& client, EndlessPeer& peer) {
  const PeakMemory memory;
  platform::ForwardRequest request;
  request.id = "r1";
  request.method = "POST";
  request.target = "/lookup/1";
  CHECK_FALSE(client.Forward(task, SendPermit::Unchecked(), peer.Entry(), request, seconds(5),
                             Within(seconds(5))));
  CHECK(peer.requests > 0);
  CHECK(memory.Growth() < kMaxGrowth);
  peer.AwaitClosed(task);
}

// Guards against an instance that keeps an answer without end to a request of a caller.
TEST_CASE("answers without end to requests take little memory", "[endless]") {
  const auto form = GENERATE_COPY(from_range(EndlessForms({"0\n"})));
  INFO(form.name);
  EndlessPeer peer(form);
  platform::EngineClient client(peer.runtime);
  testing::RunTask(peer.runtime, [&](Task& task) { CheckForward(task, client, peer); });
}

// Guards against an owner that keeps an answer without end to an order, or to the question for a
// report.
TEST_CASE("answers without end to reports and orders take little memory", "[endless]") {
  const auto form = GENERATE_COPY(from_range(EndlessForms({"0\n"})));
  INFO(form.name);
  EndlessPeer peer(form);
  platform::EngineClient client(peer.runtime);
  testing::RunTask(peer.runtime, [&](Task& task) {
    const PeakMemory memory;
    CHECK_FALSE(
        client.FetchReport(task, SendPermit::Unchecked(), peer.Entry(), SteadyNow() + seconds(2)));
    platform::WeightOrder order;
    order.model = "m";
    order.version = 2;
    order.holder = "one";
    order.fencing = 1;
    const auto outcome =
        client.SendOrder(task, SendPermit::Unchecked(), peer.Entry(), order, [] { return true; });
    CHECK(outcome != platform::OrderOutcome::kAccepted);
    CHECK(peer.requests >= 2);
    CHECK(memory.Growth() < 8 * kMiB);
    peer.AwaitClosed(task);
  });
}

// Guards against an instance that keeps an answer without end which it relays, or which another one
// relays to it.
TEST_CASE("relayed answers without end take little memory", "[endless]") {
  const auto form = GENERATE_COPY(from_range(EndlessForms({"0\n"})));
  INFO(form.name);
  EndlessPeer peer(form);
  platform::EngineClient relaying(peer.runtime);
  TargetRelay relay([&](const std::string&, WallMillis) { return peer.Entry(); },
                    [] { return false; },
                    [&](Task& task, const TargetEntry& entry, const HttpRequest& message,
                        const CallOptions& options) {
                      return relaying.OpenForPeer(task, entry, message, options);
                    });
  const auto server = HttpServer::Builder(peer.runtime)
                          .SetAddress("127.0.0.1:0")
                          .SetHandler([&](Task& task, const HttpRequest& request,
                                          HttpReply& reply) { relay.Handle(task, request, reply); })
                          .Build();
  const RelayPeer relay_peer{"peer", *ParseEndpoint(*server->Start())};
  platform::PathHooks paths;
  paths.choose = [&](const PathQuery& query) {
    return query.tried->count("peer") == 0 ? std::optional<RelayPeer>(relay_peer) : std::nullopt;
  };
  paths.on_relay = [](const RelayPeer&, bool) {};
  platform::EngineClient asking(peer.runtime, {}, paths);
  testing::RunTask(peer.runtime, [&](Task& task) { CheckForward(task, asking, peer); });
}

// Guards against an instance that keeps an answer without end of the store.
TEST_CASE("answers without end of the store take little memory", "[endless]") {
  const auto form = GENERATE_COPY(from_range(EndlessForms({"0\n"})));
  INFO(form.name);
  EndlessPeer peer(form);
  platform::StoreClient store(peer.runtime, peer.Entry().address, nullptr);
  testing::RunTask(peer.runtime, [&](Task& task) {
    const PeakMemory memory;
    const RowId id{"t", "p", "k"};
    CHECK_FALSE(store.Read(task, RowRange(), SteadyNow() + seconds(2)));
    CHECK_FALSE(
        store.Commit(task, RowBatch::Builder().Put(id, "v").Build(), SteadyNow() + seconds(2)));
    const auto feed = store.Feed(task, "t", 0, milliseconds(200));
    CHECK((!feed || feed->history_lost));
    CHECK(peer.requests >= 3);
    CHECK(memory.Growth() < kMaxGrowth);
    peer.AwaitClosed(task);
  });
}

}  // namespace
}  // namespace anvilcroft
