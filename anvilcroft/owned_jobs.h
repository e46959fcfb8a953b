#ifndef ANVILCROFT_OWNED_JOBS_H_
#define ANVILCROFT_OWNED_JOBS_H_

// The open batch jobs of one owner, each from the beginning of its load.
//
// A load reads the rows of a job from the metadata store, which takes many calls. The job may end,
// or be dropped with all others, during any of them. A job that was removed stays so: its load
// cannot be completed.
//
//   const std::shared_ptr<OwnedJob> job = jobs.BeginLoad(head);
//   if (!job) return;  // the owner has the job already
//   ...                // calls to the store; useless once job->removed is set
//   if (!jobs.CompleteLoad(job)) return;

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "anvilcroft/batch_job.h"
#include "anvilcroft/owned_job.h"

namespace anvilcroft {

class OwnedJobs {
 public:
  using Map = std::map<std::string, std::shared_ptr<OwnedJob>>;  // by id

  // Adds a job that is being loaded. Returns null if the owner has a job with this id.
  std::shared_ptr<OwnedJob> BeginLoad(const BatchHead& head);

  // Makes a job that is being loaded a loaded one. Returns false if it was removed.
  bool CompleteLoad(const std::shared_ptr<OwnedJob>& job);

  // Removes a job in either state, cancels its runs and wakes up its lister. Returns null if the
  // owner does not have it.
  std::shared_ptr<OwnedJob> Remove(const std::string& id);

  // Removes all jobs and returns their number.
  std::size_t RemoveAll();

  // The jobs whose items may run.
  const Map& Loaded() const { return this->loaded; }
  bool IsLoading(const std::string& id) const { return this->loading.count(id) != 0; }
  std::size_t LoadingCount() const { return this->loading.size(); }

  // The ids of all jobs, in order.
  std::vector<std::string> Ids() const;

 private:
  Map loading;
  Map loaded;
};

}  // namespace anvilcroft

#endif  // ANVILCROFT_OWNED_JOBS_H_
