// Reads all records of the state service into a new leader's cluster.
#ifndef ZINCLEAD_SERVICE_RECORD_LOADER_H_
#define ZINCLEAD_SERVICE_RECORD_LOADER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/locked_cluster.h"
#include "net/callback_guard.h"
#include "net/event_loop.h"
#include "state/store_client.h"

namespace zinclead::service {

// Belongs to the I/O thread. The leader key must have been created before it starts: writes of
// earlier leaders then fail, so that the records do not change while they are read.
class RecordLoader {
 public:
  struct LoadedRecords {
    size_t count = 0;
    std::unordered_map<std::string, uint64_t> versions;  // by key
  };
  using Done = std::function<void(LoadedRecords records)>;

  // `loop` and `store` must outlive the loader. A page that could not be read is asked for again
  // after `retry_s`, without end.
  RecordLoader(net::EventLoop* loop, state::StoreClient* store,
               std::shared_ptr<core::LockedCluster> cluster, double retry_s, Done done);

  // Called once; `done` runs later, unless the loader is destroyed before.
  void Start();

 private:
  // Reads the page of the keys after `after`.
  void LoadPage(const std::string& after);
  void OnPage(const std::string& after, state::Outcome outcome, const wire::StorePage& page);

  net::EventLoop* const loop_;
  state::StoreClient* const store_;
  const std::shared_ptr<core::LockedCluster> cluster_;
  const double retry_s_;
  const Done done_;
  LoadedRecords records_;
  net::EventLoop::Timer retry_timer_;
  net::CallbackGuard guard_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_RECORD_LOADER_H_
