#ifndef ANVILCROFT_FLEET_SLICE_PLAN_H_
#define ANVILCROFT_FLEET_SLICE_PLAN_H_

// The division of batch items and model engines into slices, each with an owner of its own.
//
// Load pattern: with 1,000 engines and steps of 6,500 items every 4 s, a single owner needs more
// than the core that any machine has. Engines come, go and restart at all times, so the number of
// slices must not follow each change, and all instances must derive the same slice from the plan
// alone: an item in two slices could be listed twice, an engine in two slices could have two
// holders.
//
// All functions are pure. docs/design/slices.md describes how instances agree on the plan.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "anvilcroft/error.h"
#include "anvilcroft/front_record.h"

namespace anvilcroft {

// Above the 27 slices of 2,100 engines; bounds the row of claims on a listing.
constexpr int kMaxSlices = 32;

// Services that have models in common, and the slices `first` to `first + width - 1`, modulo the
// number of slices, over which their engines and items are spread.
struct SliceFamily {
  int first = 0;
  int width = 1;
  std::set<std::string> services;
  std::set<std::string> models;

  friend bool operator==(const SliceFamily& a, const SliceFamily& b) {
    return std::tie(a.first, a.width, a.services, a.models) ==
           std::tie(b.first, b.width, b.services, b.models);
  }
  friend bool operator!=(const SliceFamily& a, const SliceFamily& b) { return !(a == b); }
};

// Engines of a service and items of a model that no family names belong to slice 0.
struct SlicePlan {
  int count = 1;
  std::vector<SliceFamily> families;  // empty if count is 1

  bool Sliced() const { return this->count > 1; }

  friend bool operator==(const SlicePlan& a, const SlicePlan& b) {
    return std::tie(a.count, a.families) == std::tie(b.count, b.families);
  }
  friend bool operator!=(const SlicePlan& a, const SlicePlan& b) { return !(a == b); }
};

std::string EncodePlan(const SlicePlan& plan);
// Fails if `value` is malformed or a family does not fit into the number of slices.
Result<SlicePlan> DecodePlan(const std::string& value);

int SliceOfEngine(const SlicePlan& plan, const std::string& service, const std::string& engine);
// `item`: for an item without a group.
int SliceOfItem(const SlicePlan& plan, const std::string& model, const std::string& group,
                const std::string& item);
// Whether items of `model` may belong to `slice`.
bool SliceHasModel(const SlicePlan& plan, int slice, const std::string& model);

// Key of the lease of a slice's owner.
std::string SliceLeaseKey(int slice);

// A service whose engines run items.
struct ServiceSize {
  std::string service;
  int engines = 0;
  std::set<std::string> models;
};

// The number of slices for `engines` engines, at present `current`. Grows beyond 5/4 of
// `per_slice` engines a slice, and shrinks once one slice fewer would have at most 4/5 of
// `per_slice` each; in between it stays.
int SliceCount(int current, int engines, int per_slice);

// The plan for the present services. Returns `current` if that still fits. Services and models of
// `current` that are missing at present are kept, because engines that restart come back.
SlicePlan PlanSlices(const SlicePlan& current, const std::vector<ServiceSize>& services,
                     int per_slice);

// The instances in the order in which they take over the lease of `slice`. `order`: all live
// instances, first the holder of slice 0 or the instance that is likely to become it, then in the
// order of takeover of slice 0. Slices have different first instances while there
// are enough, and different second ones, so that one loss gives no instance two slices; among
// machines of the same size, neighbouring slices are in different zones.
std::vector<std::string> SliceLine(const std::vector<FrontRecord>& order, int slice, int count);

}  // namespace anvilcroft

#endif  // ANVILCROFT_FLEET_SLICE_PLAN_H_
