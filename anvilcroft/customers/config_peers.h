#ifndef ANVILCROFT_CUSTOMERS_CONFIG_PEERS_H_
#define ANVILCROFT_CUSTOMERS_CONFIG_PEERS_H_

// Gets newer configurations from other instances while the store does not confirm this instance's
// own (peer_query_schedule.h), and answers such queries of others.
//
//   GET /config?after=VERSION   at the internal address
//
// The answer has the status 200 and kAgeField. Its body is the row of the configuration as the
// store returned it if its version is higher than VERSION, and empty otherwise. Instances ask only
// while their configuration names customers, or if they have none. An instance of an earlier build
// answers without kAgeField, which is ignored.

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "anvilcroft/customers/peer_query_schedule.h"
#include "anvilcroft/http_client.h"
#include "anvilcroft/http_request.h"
#include "anvilcroft/http_response.h"
#include "anvilcroft/metrics.h"
#include "anvilcroft/platform_view.h"

namespace anvilcroft {

class ConfigPeers {
 public:
  static constexpr const char* kPath = "/config";
  // Time in ms since the store confirmed the configuration of the answering instance.
  static constexpr const char* kAgeField = "Anvilcroft-Config-Age-Ms";
  // Instances are at most a few tens of milliseconds apart; a configuration of 1 MB takes 180 ms at
  // 45 Mbit/s.
  static constexpr Duration kConnectTimeout = milliseconds(150);
  static constexpr Duration kCallTimeout = milliseconds(500);
  // 10,000 keys and 2,000 routes take about 1 MB.
  static constexpr std::size_t kMaxRowBytes = 4 << 20;

  // `addresses` returns the internal addresses of the other live instances.
  using Addresses = std::function<std::vector<std::string>()>;

  ConfigPeers(Runtime& runtime, PlatformView& view, Metrics& metrics, Addresses addresses,
              uint64_t seed)
      : runtime(runtime),
        view(view),
        metrics(metrics),
        http(runtime),
        addresses(std::move(addresses)),
        random(seed) {}

  void Start();

  // Answers a query of another instance.
  HttpResponse Answer(const HttpRequest& request) const;

 private:
  void Run(Task& task);
  // Asks some instances for a newer configuration. Returns the address of the one that has had its
  // own confirmed by the store recently; empty: none.
  std::string AskPeers(Task& task);
  // Returns the age of the confirmation of the instance at `address`, or nullopt if it gave no
  // valid answer. Applies the configuration in the answer.
  std::optional<Duration> AskPeer(Task& task, const std::string& address);

  Runtime& runtime;
  PlatformView& view;
  Metrics& metrics;
  HttpClient http;
  Addresses addresses;
  std::mt19937_64 random;
  PeerQuerySchedule schedule;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_CUSTOMERS_CONFIG_PEERS_H_
