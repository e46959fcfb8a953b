#include "anvilcroft/owned_jobs.h"

#include <algorithm>
#include <utility>

namespace anvilcroft {

std::shared_ptr<OwnedJob> OwnedJobs::BeginLoad(const BatchHead& head) {
  if (this->loaded.count(head.id) != 0 || this->loading.count(head.id) != 0) return nullptr;
  auto job = std::make_shared<OwnedJob>();
  job->head = head;
  this->loading.emplace(head.id, job);
  return job;
}

bool OwnedJobs::CompleteLoad(const std::shared_ptr<OwnedJob>& job) {
  // Another load of the same job may have begun since `job` was removed.
  const auto found = this->loading.find(job->head.id);
  if (found == this->loading.end() || found->second != job) return false;
  this->loading.erase(found);
  this->loaded.emplace(job->head.id, job);
  return true;
}

std::shared_ptr<OwnedJob> OwnedJobs::Remove(const std::string& id) {
  Map::node_type node = this->loaded.extract(id);
  if (node.empty()) node = this->loading.extract(id);
  if (node.empty()) return nullptr;
  std::shared_ptr<OwnedJob> job = std::move(node.mapped());
  job->removed = true;
  for (OwnedItem& item : job->items) {
    if (item.run) item.run->Cancel();
  }
  job->unlisted_results_changed.NotifyAll();
  return job;
}

std::size_t OwnedJobs::RemoveAll() {
  const std::vector<std::string> ids = this->Ids();
  for (const std::string& id : ids) this->Remove(id);
  return ids.size();
}

std::vector<std::string> OwnedJobs::Ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, job] : this->loaded) ids.push_back(id);
  for (const auto& [id, job] : this->loading) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  return ids;
}

}  // namespace anvilcroft
