#include "core/scheduling/service_ranking.h"

#include <algorithm>

namespace zinclead::core {
namespace {

// Penalties in the rank of a machine that has the image or can fetch it in time. Their sum is lower
// than the ranks of machines with a slow fetch.
constexpr int kNoControllerPenalty = 4;
constexpr int kNoImagePenalty = 2;
constexpr int kNoServicesPenalty = 1;

}  // namespace

bool ZoneHasController(const config::Settings& settings, const std::string& zone) {
  const auto& peers = settings.peers;
  return zone == settings.zone ||
         std::any_of(peers.begin(), peers.end(),
                     [&](const config::Peer& peer) { return peer.zone == zone; });
}

int ServiceRank(const config::Settings& settings, const Job& job, const Machine& machine,
                bool beside_services, double fetch_limit_s) {
  const bool has_image = machine.images.contains(job.spec.image);
  if (!has_image && job.spec.image_gb > fetch_limit_s * machine.type->fetch_gb_per_s) {
    return beside_services ? kWorstServiceRank - 1 : kWorstServiceRank;
  }
  return (ZoneHasController(settings, machine.zone) ? 0 : kNoControllerPenalty) +
         (has_image ? 0 : kNoImagePenalty) + (beside_services ? 0 : kNoServicesPenalty);
}

bool RunsServices(const Machine& machine) {
  return machine.services > 0 &&
         std::any_of(machine.attempts.begin(), machine.attempts.end(), [](const auto& entry) {
           const Attempt& attempt = *entry.second;
           return attempt.job->spec.kind == wire::JobKind::kService && attempt.holds_allocation &&
                  (attempt.start_sent || attempt.listed);
         });
}

}  // namespace zinclead::core
