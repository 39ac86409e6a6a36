// Loads all records from the state service into a new leader's cluster.
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

// All methods run on the I/O thread. The leader key of the new term must exist before loading
// starts: it makes the writes of earlier leaders fail, so that no record changes while the pages
// are read.
class RecordLoader {
 public:
  struct LoadedRecords {
    size_t count = 0;
    std::unordered_map<std::string, uint64_t> versions;  // version in the state service, by key
  };
  using LoadedCallback = std::function<void(LoadedRecords records)>;

  // `loop` and `store` must outlive the loader. A page that could not be read is requested again
  // after `retry_s`, as often as necessary.
  RecordLoader(net::EventLoop* loop, state::StoreClient* store,
               std::shared_ptr<core::LockedCluster> cluster, double retry_s,
               LoadedCallback on_loaded);

  // Starts to load. Called once. `on_loaded` runs when all records are loaded, unless the loader is
  // destroyed before.
  void Start();

 private:
  // Requests the page of keys that come after `after_key`.
  void LoadPage(const std::string& after_key);
  void OnPage(const std::string& after_key, state::Outcome outcome, const wire::StorePage& page);

  net::EventLoop* const loop_;
  state::StoreClient* const store_;
  const std::shared_ptr<core::LockedCluster> cluster_;
  const double retry_s_;
  const LoadedCallback on_loaded_;
  LoadedRecords records_;
  net::EventLoop::Timer retry_timer_;
  net::CallbackGuard guard_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_RECORD_LOADER_H_
