// A follower's part of admission: which submissions it forwards to the leader, and which it refuses
// by itself. It never accepts any. Pure: the clock and the seed are passed in.
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

// Times are in seconds on the node's clock and never decrease. Not thread-safe.
class CreditGate {
 public:
  // A grant is valid for `grant_life_s` after it was received.
  CreditGate(const Limits& limits, double grant_life_s, uint64_t seed);

  // The announcement of the leader of `term` was received, with or without a grant. A leader
  // without one (an older version, or with fair admission off) sets no limit.
  void OnLeaderAnnouncement(uint64_t term, const std::optional<wire::CreditGrant>& grant,
                            double now);

  struct Verdict {
    bool forward = false;
    int retry_after_s = 0;  // of a refusal
  };
  // Whether the submission may be forwarded. Uses up credit if so.
  [[nodiscard]] Verdict Decide(const Request& request, double now);

  // The leader refused the forwarded submission until `retry_after_s` from now.
  void OnRefused(const std::string& id, int retry_after_s, double now);

  // Retry-After of a submission while no leader answers: random, so that the users do not all retry
  // in the second in which a new leader starts.
  [[nodiscard]] int RandomRetryWithoutLeader();

  // Counts since the process began.
  [[nodiscard]] uint64_t refused() const { return refused_; }
  [[nodiscard]] uint64_t forwarded() const { return forwarded_; }

 private:
  // Takes the grant over. Returns false and changes nothing if it is malformed.
  bool ReadGrant(const wire::CreditGrant& grant);
  bool HasValidAnnouncement(double now) const;
  Verdict Forward();
  Verdict Refuse(int retry_after_s);
  Verdict DecideWithoutGrant(const std::string& team, double now);
  int RandomRetryAfter();
  void EraseEndedRefusals(double now);

  const Limits limits_;
  const double grant_life_s_;
  std::mt19937_64 random_;
  uint64_t term_ = 0;
  double last_announcement_at_ = 0;
  bool has_leader_ = false;
  bool unlimited_ = false;
  std::vector<wire::CreditsByTeam> credits_;  // by tier
  BloomFilter reservations_;
  BloomFilter accepted_;
  // Token buckets in submissions, by team; all unknown teams share the one named "".
  struct FallbackBucket {
    double tokens = 1;
    double filled_at = 0;
  };
  std::map<std::string, FallbackBucket> fallback_buckets_;
  // Ids that the leader refused through this node and until when, by id and by time.
  std::unordered_map<std::string, double> refused_until_;
  std::set<std::pair<double, std::string>> refusals_by_end_;
  uint64_t refused_ = 0;
  uint64_t forwarded_ = 0;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_CREDIT_GATE_H_
