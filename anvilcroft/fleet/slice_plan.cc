#include "anvilcroft/fleet/slice_plan.h"

#include <algorithm>
#include <utility>

#include "anvilcroft/json.h"

namespace anvilcroft {
namespace {

constexpr std::size_t kMaxFamilies = 4096;
constexpr std::size_t kMaxNames = 4096;

// FNV-1a with the finalizer of SplitMix64. Every plan hashes every engine, for which SHA-256 would
// cost several percent of a core.
uint64_t FastHash(std::string_view bytes) {
  uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : bytes) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 30;
  hash *= 0xbf58476d1ce4e5b9ULL;
  hash ^= hash >> 27;
  hash *= 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

int SliceIn(const SlicePlan& plan, const SliceFamily* family, std::string_view name) {
  if (!plan.Sliced() || family == nullptr) return 0;
  const auto offset = static_cast<int>(FastHash(name) % static_cast<uint64_t>(family->width));
  return (family->first + offset) % plan.count;
}

const SliceFamily* FindFamily(const SlicePlan& plan, std::set<std::string> SliceFamily::*names,
                              const std::string& name) {
  for (const SliceFamily& family : plan.families) {
    if ((family.*names).count(name) != 0) return &family;
  }
  return nullptr;
}

bool Overlap(const std::set<std::string>& a, const std::set<std::string>& b) {
  return std::any_of(a.begin(), a.end(), [&b](const auto& name) { return b.count(name) != 0; });
}

struct Family {
  SliceFamily names;
  int engines = 0;
  int smallest = 0;  // number of engines of the smallest service present; 0: none is present
};

// Merges `added` with all families that share a service or a model with it.
void Merge(std::vector<Family>& families, Family added) {
  for (auto it = families.begin(); it != families.end();) {
    if (!Overlap(it->names.services, added.names.services) &&
        !Overlap(it->names.models, added.names.models)) {
      ++it;
      continue;
    }
    added.names.services.insert(it->names.services.begin(), it->names.services.end());
    added.names.models.insert(it->names.models.begin(), it->names.models.end());
    added.names.width = std::max(added.names.width, it->names.width);
    added.engines += it->engines;
    added.smallest = added.smallest == 0 ? it->smallest
                     : it->smallest == 0 ? added.smallest
                                         : std::min(added.smallest, it->smallest);
    it = families.erase(it);
  }
  families.push_back(std::move(added));
}

// Sets the first slice of each family so that the slices have similar numbers of engines.
void Spread(std::vector<Family>& families, int count) {
  std::sort(families.begin(), families.end(), [](const Family& a, const Family& b) {
    return std::make_tuple(-a.engines, *a.names.services.begin()) <
           std::make_tuple(-b.engines, *b.names.services.begin());
  });
  std::vector<int> load(static_cast<std::size_t>(count), 0);
  for (Family& family : families) {
    int best = 0;
    int best_load = -1;
    for (int first = 0; first < count; ++first) {
      int highest = 0;
      for (int i = 0; i < family.names.width; ++i) {
        highest = std::max(highest, load[static_cast<std::size_t>((first + i) % count)]);
      }
      if (best_load < 0 || highest < best_load) {
        best = first;
        best_load = highest;
      }
    }
    family.names.first = best;
    for (int i = 0; i < family.names.width; ++i) {
      load[static_cast<std::size_t>((best + i) % count)] += family.engines / family.names.width;
    }
  }
}

}  // namespace

std::string EncodePlan(const SlicePlan& plan) {
  nlohmann::json families = nlohmann::json::array();
  for (const SliceFamily& family : plan.families) {
    families.push_back({{"first", family.first},
                        {"width", family.width},
                        {"services", family.services},
                        {"models", family.models}});
  }
  return DumpJson({{"count", plan.count}, {"families", std::move(families)}});
}

Result<SlicePlan> DecodePlan(const std::string& value) {
  const auto parsed = ParseJson(value);
  if (!parsed) return tl::unexpected<Error>(parsed.error());
  JsonFields fields(*parsed, "slices");
  SlicePlan plan;
  plan.count = static_cast<int>(fields.Integer("count", 1, kMaxSlices));
  for (const auto& entry : fields.Array("families", kMaxFamilies)) {
    JsonFields family_fields(entry, "slices.families");
    SliceFamily family;
    family.first = static_cast<int>(family_fields.Integer("first", 0, plan.count - 1));
    family.width = static_cast<int>(family_fields.Integer("width", 1, plan.count));
    for (auto& name : family_fields.Strings("services", kMaxNames)) family.services.insert(name);
    for (auto& name : family_fields.Strings("models", kMaxNames)) family.models.insert(name);
    if (!family_fields.Ok()) return tl::unexpected<Error>(family_fields.Finish().error());
    plan.families.push_back(std::move(family));
  }
  if (!fields.Ok()) return tl::unexpected<Error>(fields.Finish().error());
  return plan;
}

int SliceOfEngine(const SlicePlan& plan, const std::string& service, const std::string& engine) {
  if (!plan.Sliced()) return 0;
  return SliceIn(plan, FindFamily(plan, &SliceFamily::services, service), engine);
}

int SliceOfItem(const SlicePlan& plan, const std::string& model, const std::string& group,
                const std::string& item) {
  if (!plan.Sliced()) return 0;
  return SliceIn(plan, FindFamily(plan, &SliceFamily::models, model), group.empty() ? item : group);
}

bool SliceHasModel(const SlicePlan& plan, int slice, const std::string& model) {
  const SliceFamily* family = FindFamily(plan, &SliceFamily::models, model);
  if (!plan.Sliced() || family == nullptr) return slice == 0;
  return (slice - family->first + plan.count) % plan.count < family->width;
}

std::string SliceLeaseKey(int slice) {
  return slice == 0 ? "batch-owner" : "batch-owner/" + std::to_string(slice);
}

int SliceCount(int current, int engines, int per_slice) {
  const auto fitting = [&] {
    return std::clamp((engines + per_slice - 1) / per_slice, 1, kMaxSlices);
  };
  if (4 * engines > 5 * per_slice * current) return std::max(current, fitting());
  if (current > 1 && 5 * engines <= 4 * per_slice * (current - 1)) return fitting();
  return current;
}

SlicePlan PlanSlices(const SlicePlan& current, const std::vector<ServiceSize>& services,
                     int per_slice) {
  int engines = 0;
  for (const ServiceSize& service : services) engines += service.engines;
  SlicePlan plan;
  plan.count = SliceCount(current.count, engines, per_slice);
  if (!plan.Sliced()) return plan;
  std::vector<Family> families;
  for (const SliceFamily& family : current.families) families.push_back({family, 0, 0});
  for (const ServiceSize& service : services) {
    if (service.engines == 0) continue;
    Family added;
    added.names.services = {service.service};
    added.names.models = service.models;
    added.engines = added.smallest = service.engines;
    Merge(families, std::move(added));
  }
  // Every slice of a family needs engines of each of its services, so the smallest one bounds the
  // width.
  for (Family& family : families) {
    const int width = family.smallest == 0
                          ? family.names.width
                          : SliceCount(family.names.width, family.smallest, per_slice);
    family.names.width = std::min(width, plan.count);
  }
  const auto names = [](const SliceFamily& family) {
    return std::tie(family.width, family.services, family.models);
  };
  bool same = plan.count == current.count && families.size() == current.families.size();
  for (const Family& family : families) {
    same = same &&
           std::any_of(current.families.begin(), current.families.end(),
                       [&](const SliceFamily& old) { return names(old) == names(family.names); });
  }
  if (same) return current;
  Spread(families, plan.count);
  for (Family& family : families) plan.families.push_back(std::move(family.names));
  return plan;
}

std::vector<std::string> SliceLine(const std::vector<FrontRecord>& order, int slice, int count) {
  std::vector<std::string> line;
  if (slice == 0) {
    for (const FrontRecord& front : order) line.push_back(front.instance);
    return line;
  }
  // The first instance is the likeliest owner of slice 0. The others, with the zones alternating
  // within each size of machine.
  std::vector<std::string> others;
  for (std::size_t begin = order.size() > 1 ? 1 : 0; begin < order.size();) {
    std::size_t end = begin;
    std::map<std::string, int> seen;  // instances of this size, by zone
    std::vector<std::tuple<int, std::size_t>> turns;
    for (; end < order.size() && order[end].cpu_share == order[begin].cpu_share &&
           order[end].cut_off == order[begin].cut_off;
         ++end) {
      turns.emplace_back(seen[order[end].zone]++, end);
    }
    std::sort(turns.begin(), turns.end());
    for (const auto& [turn, index] : turns) others.push_back(order[index].instance);
    begin = end;
  }
  if (others.empty()) return line;
  const auto add = [&line](const std::string& instance) {
    if (std::find(line.begin(), line.end(), instance) == line.end()) line.push_back(instance);
  };
  const auto place = [&others](int index) {
    return others[static_cast<std::size_t>(index) % others.size()];
  };
  add(place(slice - 1));
  add(place(count - 1 + 2 * (slice - 1)));
  add(place(count + 2 * (slice - 1)));
  for (const std::string& instance : others) add(instance);
  add(order.front().instance);
  return line;
}

}  // namespace anvilcroft
