// The leader's decision on each new submission: admitted, or refused with the time to retry.
// Pure: the clock and the seed are passed in. One object serves one term.
//
// Each tier (priority) has a token bucket that fills at the tier's own rate; the overflow of a full
// bucket goes to a common bucket, which serves the highest tier first. A refused job gets a
// reservation in its team's queue. The queues are served by deficit round robin as tokens become
// available; a served reservation is granted: the next submission of its id is admitted. See
// docs/admission.md.
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

// A submission of a job. A reservation counts for a request that is the same in all fields.
struct Request {
  std::string id;
  std::string team;
  size_t tier = 0;  // less than kTiers, see TierOf
  double cost = 0;  // in record writes, see Limits::CostOf

  bool operator==(const Request&) const = default;
};

struct Decision {
  bool admitted = false;
  bool has_reservation = false;  // refused, but with a reservation
  int retry_after_s = 0;         // of a refusal: 1 to kMaxRetryAfterS
};

// Counts since the term began, for logs and tests.
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

  // Decides on a submission of a job that is not known. An admitted job counts as active, and as
  // not yet durable until OnStored.
  [[nodiscard]] Decision Decide(const Request& request, double now);
  // The record of an admitted job became durable. Unknown ids are ignored.
  void OnStored(const std::string& id, double now);
  // The user has cancelled a job that was refused. Ids without a reservation are ignored.
  void CancelReservation(const std::string& id);

  // A job that was admitted in an earlier term is active.
  void AddActive(const std::string& team) { active_.Add(team); }
  // A job that was accepted in an earlier term: its user may not have received the answer yet, so
  // followers must forward its submission.
  void AddAccepted(const std::string& id, double accepted_at, double now);
  // An active job of the team, of whatever term, has ended.
  void OnEnded(const std::string& team) { active_.Remove(team); }

  // What each follower may forward until the next grant.
  wire::CreditGrant MakeGrant(double now);

  [[nodiscard]] const Counters& counters() const { return counters_; }
  // Reservations, granted ones included.
  [[nodiscard]] size_t reservations() const { return reservations_.size(); }
  // Admitted jobs whose record is not durable yet.
  [[nodiscard]] size_t unstored() const { return unstored_.size(); }
  [[nodiscard]] const ActiveJobs& active() const { return active_; }
  // Compares all counts with a recount. For tests.
  [[nodiscard]] bool CountsAgree() const;

 private:
  // Brings buckets and reservations up to the time `now`.
  void Advance(double now);
  void FillBuckets(double now);
  void ExpireReservations(double now);
  void GrantReservations(double now);
  // Takes the cost from the tier's bucket, and what that lacks from the common one. Returns false
  // and takes nothing if both together do not suffice.
  bool TakeTokens(size_t tier, double cost);

  // The reservation of that request, or null. Removes one of another job with the same id.
  Reservation* FindReservation(const Request& request);
  Reservation* AddReservation(const Request& request, double now);
  // Requires a reservation of that id.
  void RemoveReservation(const std::string& id);
  void SetRetryTime(Reservation* reservation, double now);
  void SetExpiry(Reservation* reservation, double at);
  // Cost a second at which the tier's reservations are granted.
  double ServiceRate(size_t tier) const;
  // Whether the team's queue has capacity for a reservation of the request.
  bool QueueHasCapacity(const Request& request) const;

  // Number of submissions of least cost that the team's queue has capacity for.
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
  // In record writes; negative after a cost above the bucket's size.
  std::array<double, kTiers> tokens_{};
  double common_tokens_ = 0;
  double filled_at_ = 0;  // when the buckets were last filled
  std::array<FairQueue, kTiers> queues_;
  std::unordered_map<std::string, std::unique_ptr<Reservation>> reservations_;
  std::set<std::pair<double, std::string>> expiring_;  // reservations' expiry times and ids
  std::set<std::string> unstored_;
  // Times and ids of jobs accepted within kUserRetryLimitS: their submissions may be repeated.
  std::set<std::pair<double, std::string>> recently_accepted_;
  Counters counters_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_ADMISSION_POLICY_H_
