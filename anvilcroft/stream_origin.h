#ifndef ANVILCROFT_STREAM_ORIGIN_H_
#define ANVILCROFT_STREAM_ORIGIN_H_

// Which service and which version of its software began a stream. A stream goes on only there,
// because the outputs of two versions do not fit together and targets do not check it. All
// functions are pure; stream_origins.h makes the calls to the store.
//
// Load pattern: thousands of streams begin in a second and few are taken up, by callers that may
// reach any instance, also after all instances that knew the stream have been killed. A write to
// the store for each stream would cost more than everything else that is written. Each service
// therefore has a default version, which is kept in the store; only streams of other versions are
// recorded, and a stream without a record was begun by the default version. Streams are recorded
// while several versions serve, as in a release.

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "anvilcroft/error.h"
#include "anvilcroft/metadata_store.h"
#include "anvilcroft/time.h"

namespace anvilcroft {

// Callers take up a stream within this time after they asked for it first, except those that said
// that they wait longer.
constexpr Duration kMaxStreamTime = seconds(60);
// After this time, all instances that reach the store have seen a new default version.
constexpr Duration kDefaultSettled = seconds(3);

struct StreamOrigin {
  std::string service;
  std::string software;  // version of the service's software

  friend bool operator==(const StreamOrigin& a, const StreamOrigin& b) {
    return std::tie(a.service, a.software) == std::tie(b.service, b.software);
  }
  friend bool operator!=(const StreamOrigin& a, const StreamOrigin& b) { return !(a == b); }
};

// The record of a stream in the store.
struct OriginRecord {
  StreamOrigin origin;
  StoreMillis expires_at = 0;  // on the store's clock; nobody takes up the stream later

  friend bool operator==(const OriginRecord& a, const OriginRecord& b) {
    return std::tie(a.origin, a.expires_at) == std::tie(b.origin, b.expires_at);
  }
  friend bool operator!=(const OriginRecord& a, const OriginRecord& b) { return !(a == b); }
};

std::string EncodeOrigin(const OriginRecord& record);
// Fails if `value` is not a valid record.
Result<OriginRecord> DecodeOrigin(const std::string& value);

// The default version of a service in the store.
struct DefaultSoftware {
  std::string software;
  StoreMillis since = 0;  // on the store's clock

  friend bool operator==(const DefaultSoftware& a, const DefaultSoftware& b) {
    return std::tie(a.software, a.since) == std::tie(b.software, b.since);
  }
  friend bool operator!=(const DefaultSoftware& a, const DefaultSoftware& b) { return !(a == b); }
};

std::string EncodeDefaultSoftware(const DefaultSoftware& value);
// Fails if `value` is not a valid row.
Result<DefaultSoftware> DecodeDefaultSoftware(const std::string& value);

// Whether a stream that `software` begins needs no record: it is the default version, and all
// instances know that. `known` is the default as this instance knows it, and `stream_time` the time
// within which the caller may take up the stream.
bool IsImplied(const std::string& software, const std::optional<DefaultSoftware>& known,
               Duration stream_time, StoreMillis store_time);

// Returns the version that should become the default of a service, or nullopt to keep the current
// one. `targets` has the number of targets by version, and `absent` is the time for which this
// instance has seen no target of the current default. The default changes only when no stream that
// it began can be taken up any more.
std::optional<std::string> NextDefaultSoftware(const std::optional<DefaultSoftware>& current,
                                               const std::map<std::string, std::size_t>& targets,
                                               Duration absent);

}  // namespace anvilcroft

#endif  // ANVILCROFT_STREAM_ORIGIN_H_
