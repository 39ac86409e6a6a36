// Decides on the leader whether a new submission is admitted, or refused with a Retry-After.
// Deterministic: the caller passes the clock and the seed. One object is used for one term.
//
// Each tier (priority) has a token bucket that fills at the tier's own rate. Tokens that exceed the
// size of a bucket go to a common bucket, from which the highest tier takes first. A refused job
// gets a reservation in its team's queue if that queue has capacity. As tokens become available,
// deficit round robin among the teams grants reservations: the next submission of a job with a
// granted reservation is admitted. See docs/admission.md.
#ifndef ZINCLEAD_ADMISSION_ADMISSION_POLICY_H_
#define ZINCLEAD_ADMISSION_ADMISSION_POLICY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/active_jobs.h"
#include "admission/bloom_filter.h"
#include "admission/fair_queue.h"
#include "admission/limits.h"
#include "wire/peer_messages.h"

namespace zinclead::admission {

// A submission of a job. A reservation is valid only for a request with the same fields.
struct Request {
  std::string id;
  std::string team;
  size_t tier = 0;  // less than kTierCount; see TierOf
  double cost = 0;  // in record writes; see Limits::CostOf

  bool operator==(const Request&) const = default;
};

// Result of AdmissionPolicy::Decide.
struct Decision {
  bool admitted = false;
  bool has_reservation = false;  // the request was refused and has a reservation
  // 0 if admitted. If refused, 1 to kMaxRetryAfterS, or Limits::busy_retry_s while fair admission
  // is off.
  int retry_after_s = 0;
};

// Statistics of the term, for logs and tests.
struct Counters {
  uint64_t admitted = 0;
  uint64_t refused_with_reservation = 0;
  uint64_t refused_without_reservation = 0;
  uint64_t reservations_expired = 0;
  double longest_wait_s = 0;  // from a job's first refusal to its admission
};

// Times are in seconds on the leader's clock and never decrease. Not thread-safe.
class AdmissionPolicy {
 public:
  AdmissionPolicy(const Limits& limits, double now, uint64_t seed);

  // Decides on a submission of a job that the leader does not know. An admitted job counts as
  // active until OnEnded, and as not durable until OnStored.
  [[nodiscard]] Decision Decide(const Request& request, double now);
  // Call when the record of an admitted job is durable. Ignores unknown ids.
  void OnStored(const std::string& id, double now);
  // Call when a user cancels a job that was refused. Ignores ids without a reservation.
  void CancelReservation(const std::string& id);

  // Adds an active job that an earlier leader admitted.
  void AddActive(const std::string& team) { active_.Add(team); }
  // Adds a job that an earlier leader accepted. Its user may not have received the response and
  // repeats the submission, which followers must forward.
  void AddAccepted(const std::string& id, double accepted_at, double now);
  // Call when an active job of the team has ended, whichever leader admitted the job.
  void OnEnded(const std::string& team) { active_.Remove(team); }

  // Returns the submissions that each follower may forward until it receives the next grant.
  wire::CreditGrant MakeGrant(double now);

  [[nodiscard]] const Counters& counters() const { return counters_; }
  // Number of reservations, including granted ones.
  [[nodiscard]] size_t reservations() const { return reservations_.size(); }
  // Number of admitted jobs whose record is not durable yet; 0 while fair admission is off.
  [[nodiscard]] size_t unstored() const { return unstored_.size(); }
  [[nodiscard]] const ActiveJobs& active() const { return active_; }
  // Returns whether the incremental counts match a recount. For tests.
  [[nodiscard]] bool CountsAgree() const;

 private:
  // Fills the buckets, removes expired reservations and grants reservations as of `now`.
  void Advance(double now);
  void FillBuckets(double now);
  void ExpireReservations(double now);
  void GrantReservations(double now);
  // Takes the cost from the tier's bucket and any shortfall from the common bucket. Returns false
  // and takes nothing if the two buckets together hold too few tokens.
  bool TakeTokens(size_t tier, double cost);

  // Returns the reservation of the request, or null. Removes a reservation that has the same id but
  // other fields.
  Reservation* FindReservation(const Request& request);
  // Requires that no reservation has the request's id.
  Reservation* AddReservation(const Request& request, double now);
  // Requires a reservation with this id.
  void RemoveReservation(const std::string& id);
  // Sets the time at which the user should retry to the estimated time of the grant.
  void SetRetryTime(Reservation* reservation, double now);
  void SetExpiry(Reservation* reservation, double expires_at);
  // Rate, in record writes per second, at which the tier's reservations are granted.
  double ServiceRate(size_t tier) const;
  // Returns whether the team's queue has capacity for a reservation of the request.
  bool QueueHasCapacity(const Request& request) const;

  // Number of submissions of minimum cost for which the team's queue has capacity.
  uint64_t FreeReservations(const std::string& team, size_t tier) const;
  std::vector<wire::CreditsByTeam> CreditsByTier() const;
  BloomFilter ReservationFilter() const;
  BloomFilter AcceptedFilter() const;
  void EraseOldAccepted(double now);

  Decision Admit(const Request& request);
  Decision AdmitReserved(const Reservation& reservation, const Request& request, double now);
  Decision Refuse(Reservation* reservation, double now);
  Decision RefuseWithoutReservation();

  const Limits limits_;
  std::mt19937_64 random_;
  ActiveJobs active_;
  // Contents of the buckets in record writes. A tier's bucket is negative after a job whose cost
  // exceeds the bucket's size.
  std::array<double, kTierCount> tokens_{};
  double common_tokens_ = 0;
  double filled_at_ = 0;  // when the buckets were last filled
  std::array<FairQueue, kTierCount> queues_;
  std::unordered_map<std::string, std::unique_ptr<Reservation>> reservations_;
  std::set<std::pair<double, std::string>> expiring_;  // expiry times and ids of the reservations
  std::set<std::string> unstored_;  // ids of admitted jobs whose record is not durable yet
  // Acceptance times and ids of the jobs whose users may still repeat the submission: those
  // accepted within the last kUserRetryLimitS.
  std::set<std::pair<double, std::string>> recently_accepted_;
  Counters counters_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_ADMISSION_POLICY_H_
