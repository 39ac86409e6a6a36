// The leader's decision on each new submission: admitted, or refused with the time to come back.
// Pure: the clock and the seed are passed in. It lives for one term.
//
// Each tier (priority) has a token bucket that fills at the tier's own rate; what a full bucket
// can't hold goes to a common bucket, which serves the highest tier first. A refused job gets a
// turn in its team's row. Rows are served by deficit round robin as tokens come; a served turn is
// granted: the next submission of its id is admitted. See docs/admission.md.
#ifndef ZINCLEAD_ADMISSION_ADMISSION_POLICY_H_
#define ZINCLEAD_ADMISSION_ADMISSION_POLICY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "admission/active_jobs.h"
#include "admission/fair_queue.h"
#include "admission/limits.h"
#include "wire/peer_messages.h"

namespace zinclead::admission {

struct Request {
  std::string id;
  std::string team;
  size_t tier = 0;
  double cost = 0;
};

struct Decision {
  bool admitted = false;
  bool has_reservation = false;  // refused, but its place is kept
  int retry_after_s = 0;
};

// Counts since the term began, for logs and tests.
struct Counters {
  uint64_t admitted = 0;
  uint64_t refused_with_reservation = 0;
  uint64_t refused_without_reservation = 0;
  uint64_t reservations_expired = 0;
  double longest_wait_s = 0;  // from a job's first refusal to its admission
};

class AdmissionPolicy {
 public:
  AdmissionPolicy(const Limits& limits, double now, uint64_t seed);

  // Decides on a submission of a job that is not known. An admitted job counts as active and as
  // not durable yet from here on.
  Decision Decide(const Request& request, double now);
  // The record of an admitted job became durable. Unknown ids are ignored.
  void OnStored(const std::string& id, double now);
  // The user has cancelled a job that was refused.
  void Withdraw(const std::string& id);

  // Active jobs that were admitted in an earlier term, and the end of any.
  void AddActive(const std::string& team) { active_.Add(team); }
  // A job that an earlier leader accepted: its user may not have had the answer yet.
  void AddAccepted(const std::string& id, double accepted_at, double now);
  void OnEnded(const std::string& team) { active_.Remove(team); }

  // What each follower may forward until the next grant.
  wire::CreditGrant MakeGrant(double now);

  const Counters& counters() const { return counters_; }
  size_t reservations() const { return reservations_.size(); }
  size_t unstored() const { return unstored_.size(); }
  const ActiveJobs& active() const { return active_; }
  // Compares all counts with a recount. For tests.
  bool CountsAgree() const;

 private:
  void Advance(double now);
  void FillBuckets(double now);
  void ExpireReservations(double now);
  void GrantReservations(double now);
  bool TakeTokens(size_t tier, double cost);
  Reservation* AddReservation(const Request& request, double now);
  void RemoveReservation(const std::string& id);
  double ServiceRate(size_t tier) const;
  void SetRetryTime(Reservation* reservation, double now);
  void SetExpiry(Reservation* reservation, double at);
  uint64_t FreeReservations(const std::string& team, size_t tier) const;
  bool QueueHasCapacity(const Request& request) const;
  void ForgetAccepted(double now);
  Decision Admit(const Request& request);
  Decision Refuse(Reservation* reservation, double now);
  Decision RefuseWithoutReservation();

  const Limits limits_;
  std::mt19937_64 random_;
  ActiveJobs active_;
  std::array<double, kTiers> tokens_{};
  double common_tokens_ = 0;
  double filled_at_ = 0;
  std::array<FairQueue, kTiers> queues_;
  std::unordered_map<std::string, std::unique_ptr<Reservation>> reservations_;
  std::set<std::pair<double, std::string>> expiring_;
  std::set<std::string> unstored_;
  // Admitted within the users' patience: their repeated submissions are let through.
  std::set<std::pair<double, std::string>> recent_;
  Counters counters_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_ADMISSION_POLICY_H_
