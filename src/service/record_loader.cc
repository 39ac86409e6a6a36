#include "service/record_loader.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace zinclead::service {

RecordLoader::RecordLoader(net::EventLoop* loop, state::StoreClient* store,
                           std::shared_ptr<core::LockedCluster> cluster, double retry_s,
                           LoadedCallback on_loaded)
    : loop_(loop),
      store_(store),
      cluster_(std::move(cluster)),
      retry_s_(retry_s),
      on_loaded_(std::move(on_loaded)) {}

void RecordLoader::Start() { LoadPage(""); }

void RecordLoader::LoadPage(const std::string& after_key) {
  store_->List(std::string(core::kRootPrefix), after_key, core::Importance::kLeadership,
               guard_.Wrap([this, after_key](state::Outcome outcome, const wire::StorePage& page) {
                 OnPage(after_key, outcome, page);
               }));
}

void RecordLoader::OnPage(const std::string& after_key, state::Outcome outcome,
                          const wire::StorePage& page) {
  if (outcome != state::Outcome::kOk) {
    loop_->StartTimer(&retry_timer_, retry_s_, [this, after_key] { LoadPage(after_key); });
    return;
  }
  cluster_->WithLock([&](core::Cluster& cluster) {
    for (const wire::StoreItem& item : page.items) {
      ++records_.count;
      records_.versions[item.key] = item.version;
      if (!cluster.LoadRecord(item.key, item.value)) {
        spdlog::error(
            "record loader: malformed record; ignoring it and leaving it unchanged: key={}",
            item.key);
      }
    }
  });
  if (page.has_more && !page.items.empty()) return LoadPage(page.items.back().key);
  on_loaded_(std::move(records_));
}

}  // namespace zinclead::service
