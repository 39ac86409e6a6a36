// A follower's side of admission: which submissions it forwards to the leader, and which it refuses
// by itself. Pure: the clock and the seed are passed in. It never accepts anything.
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

class CreditGate {
 public:
  // A grant counts for `grant_life_s` after it came.
  CreditGate(const Limits& limits, double grant_life_s, uint64_t seed);

  // The leader's notice of `term` came, with or without a grant. A leader without one (an older
  // version, or admission turned off) sets no limit.
  void OnLeaderAnnouncement(uint64_t term, const std::optional<wire::CreditGrant>& grant,
                            double now);

  // Whether the submission may be forwarded; if not, the Retry-After of its refusal.
  struct Verdict {
    bool forward = false;
    int retry_after_s = 0;
  };
  Verdict Decide(const Request& request, double now);

  // The leader refused the forwarded job until `retry_after_s` from now.
  void OnRefused(const std::string& id, int retry_after_s, double now);

  // Retry-After of a submission while no leader answers: spread, so that a new leader is not met by
  // all users in the same second.
  int RandomRetryWithoutLeader();

  uint64_t refused() const { return refused_; }
  uint64_t forwarded() const { return forwarded_; }

 private:
  bool ReadGrant(const wire::CreditGrant& grant);
  Verdict Forward();
  Verdict Refuse(int retry_after_s);
  Verdict Trickle(const std::string& team, double now);
  int RandomRetry();
  void ForgetPast(double now);

  const Limits limits_;
  const double grant_life_s_;
  std::mt19937_64 random_;
  uint64_t term_ = 0;
  double last_announcement_at_ = 0;
  bool has_leader = false;
  bool unlimited_ = false;
  std::vector<std::map<std::string, uint64_t>> credits_;
  BloomFilter reservations_;
  BloomFilter accepted_;
  struct TrickleBucket {
    double tokens = 1;
    double filled_at = 0;
  };
  std::map<std::string, TrickleBucket> trickle_;  // by team; all unknown teams share one
  // Ids that the leader refused through this node, and until when; in both orders.
  std::unordered_map<std::string, double> rejected_until_;
  std::set<std::pair<double, std::string>> refused_order_;
  uint64_t refused_ = 0;
  uint64_t forwarded_ = 0;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_CREDIT_GATE_H_
