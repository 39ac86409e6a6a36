// Decides on a follower which submissions it forwards to the leader and which it refuses. Only the
// leader accepts submissions. Deterministic: the caller passes the clock and the seed.
#ifndef ZINCLEAD_ADMISSION_CREDIT_GATE_H_
#define ZINCLEAD_ADMISSION_CREDIT_GATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/admission_policy.h"
#include "admission/bloom_filter.h"
#include "admission/limits.h"
#include "wire/peer_messages.h"

namespace zinclead::admission {

// Limits the submissions that a follower forwards by the credits that the leader grants. Times are
// in seconds on the node's clock and never decrease. Not thread-safe.
class CreditGate {
 public:
  // A leader's announcement is valid for `grant_life_s` after the follower receives it.
  CreditGate(const Limits& limits, double grant_life_s, uint64_t seed);

  // Call when the node receives an announcement of the leader of `term`. An announcement without a
  // grant (from an older version, or with fair admission off) sets no limit.
  void OnLeaderAnnouncement(uint64_t term, const std::optional<wire::CreditGrant>& grant,
                            double now);

  // Result of Decide.
  struct ForwardDecision {
    bool is_forwarded = false;
    int retry_after_s = 0;  // 0 if the submission is forwarded
  };
  // Decides whether to forward the submission. A submission of a new job that is forwarded uses one
  // credit of its team and tier.
  [[nodiscard]] ForwardDecision Decide(const Request& request, double now);

  // Call when the leader has refused a forwarded submission. Until `retry_after_s` has passed or a
  // new leader is announced, this node refuses the id itself.
  void OnRefused(const std::string& id, int retry_after_s, double now);

  // Retry-After, in seconds, of a submission while the leader is unreachable: 1 if fair admission
  // is off, otherwise random, so that users do not all retry in the second in which a new leader
  // starts.
  [[nodiscard]] int RandomRetryWithoutLeader();

  // Numbers of submissions since the process started.
  [[nodiscard]] uint64_t refused() const { return refused_; }
  [[nodiscard]] uint64_t forwarded() const { return forwarded_; }

 private:
  // Replaces the credits and filters by those of `grant`. Returns false and changes nothing if the
  // grant is malformed.
  bool ApplyGrant(const wire::CreditGrant& grant);
  bool HasValidAnnouncement(double now) const;
  ForwardDecision Forward();
  ForwardDecision Refuse(int retry_after_s);
  ForwardDecision DecideWithoutGrant(const std::string& team, double now);
  int RandomRetryAfter();
  void EraseExpiredRefusals(double now);

  const Limits limits_;
  const double grant_life_s_;
  std::mt19937_64 random_;
  uint64_t term_ = 0;
  double last_announcement_at_ = 0;
  bool has_leader_ = false;
  bool is_unlimited_ = false;
  std::vector<wire::CreditsByTeam> credits_;  // by tier
  BloomFilter reservations_;
  BloomFilter accepted_;
  // A token bucket in submissions, used without a valid grant.
  struct FallbackBucket {
    double tokens = 1;
    double filled_at = 0;
  };
  // By team; all unknown teams share the bucket with the key "".
  std::map<std::string, FallbackBucket> fallback_buckets_;
  // Submissions that this node forwarded and the leader refused: retry times by id, and (retry
  // time, id) in the order of time.
  std::unordered_map<std::string, double> refused_until_;
  std::set<std::pair<double, std::string>> refusals_by_expiry_;
  uint64_t refused_ = 0;
  uint64_t forwarded_ = 0;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_CREDIT_GATE_H_
