#include "service/record_loader.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace zinclead::service {

RecordLoader::RecordLoader(net::EventLoop* loop, state::StoreClient* store,
                           std::shared_ptr<core::LockedCluster> cluster, double retry_s, Done done)
    : loop_(loop),
      store_(store),
      cluster_(std::move(cluster)),
      retry_s_(retry_s),
      done_(std::move(done)) {}

void RecordLoader::Start() { LoadPage(""); }

void RecordLoader::LoadPage(const std::string& after) {
  store_->List(std::string(core::kRootPrefix), after, core::Importance::kLeadership,
               guard_.Wrap([this, after](state::Outcome outcome, const wire::StorePage& page) {
                 OnPage(after, outcome, page);
               }));
}

void RecordLoader::OnPage(const std::string& after, state::Outcome outcome,
                          const wire::StorePage& page) {
  if (outcome != state::Outcome::kOk) {
    loop_->StartTimer(&retry_timer_, retry_s_, [this, after] { LoadPage(after); });
    return;
  }
  cluster_->WithLock([&](core::Cluster& cluster) {
    for (const wire::StoreItem& item : page.items) {
      ++records_.count;
      records_.versions[item.key] = item.version;
      if (!cluster.LoadRecord(item.key, item.value)) {
        spdlog::error("malformed record {}, left as it is", item.key);
      }
    }
  });
  if (page.more && !page.items.empty()) return LoadPage(page.items.back().key);
  done_(std::move(records_));
}

}  // namespace zinclead::service
