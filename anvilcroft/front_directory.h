#ifndef ANVILCROFT_FRONT_DIRECTORY_H_
#define ANVILCROFT_FRONT_DIRECTORY_H_

// Tells callers which instances to use: this instance's row in the metadata store, and the rows of
// the others.
//
// An instance is listed while it renews its row. When the store has been away, nobody could renew;
// instances that were listed before stay so for a grace time after its return.

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "anvilcroft/front_record.h"
#include "anvilcroft/metadata_store.h"

namespace anvilcroft {

// Which instances are alive according to rows that were read at `store_time`. Pure.
// `lifetime_ms`: age of a row after which its instance is taken for dead. Rows of instances that
// are leaving are left out.
std::vector<FrontRecord> LiveFronts(const std::vector<FrontRecord>& rows, StoreMillis store_time,
                                    int64_t lifetime_ms);

// Addresses for a caller in `zone`: at most `most`, those of its own zone included, the others
// spread by the hash of their names. Pure.
std::vector<std::string> AddressesFor(const std::vector<FrontRecord>& fronts,
                                      const std::string& zone, std::size_t most);

// Time between renewals, and between reads, with `fronts` instances. All rows share one partition,
// which takes 200 transactions a second; half of that is left for others. Pure.
Duration RenewalPeriod(std::size_t fronts);

class FrontDirectory {
 public:
  // Renewals that an instance may miss before it is taken for dead.
  static constexpr double kLifetimeInPeriods = 3.2;

  // After an outage of the store of kOutage or more, instances get this long to renew their rows.
  static constexpr Duration kOutage = milliseconds(1500);
  static constexpr Duration kGrace = milliseconds(2000);

  FrontDirectory(Runtime& runtime, MetadataStore& store, FrontRecord self);

  // The addresses for callers and for other instances, once they are known. Call before Start.
  void SetAddresses(std::string callers, std::string internal) {
    this->self.address = std::move(callers);
    this->self.internal = std::move(internal);
  }

  void Start();

  // Marks this instance as leaving and writes that at once.
  void Leave(Task& task, TimePoint deadline);

  // The instances that callers may use. Empty until the rows have been read.
  const std::vector<FrontRecord>& Fronts() const { return this->live; }

  // How many live instances are to take a duty before this one: larger machines go first.
  int Rank() const;

  // Internal addresses of up to `most` other live instances, in the order of Rank.
  std::vector<std::string> Candidates(std::size_t most) const;

 private:
  void Renew(Task& task);
  void Read(Task& task);
  bool Write(Task& task, TimePoint deadline);

  Runtime& runtime;
  MetadataStore& store;
  FrontRecord self;
  std::vector<FrontRecord> live;
  TimePoint read_at;      // last successful read
  TimePoint grace_until;  // rows are not judged by their age until then
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_FRONT_DIRECTORY_H_
