// Placement, renting, preemption and the machines' life.

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <tuple>
#include <utility>

#include "core/cluster.h"

namespace zinclead::core {
namespace {

// Spare room for production services: what arrives while a machine boots, slow boots included, and
// one more; never more than this share of what runs, so that a start with many jobs at once does
// not count as a steady stream.
constexpr double kHeadroomBoots = 1.2;
constexpr double kHeadroomWindowBoots = 3;
constexpr double kHeadroomShare = 0.1;

// Services are moved from machines that are emptier than others so that those can go back. While
// one moves it is down for about kMigrationDowntimeS: it ends with the answer that stops it, the
// report of that comes after the least time between two, and some machine that suits it reports
// soon. Of a lease's service time at most kConcurrentMigrationShare goes there at once, when a
// machine is emptied, and of all service time kMigrationDowntimeShare; both where a start may take
// a lease, and less the sooner services must start.
constexpr double kMigrationDowntimeS = 2 * wire::kMinHeartbeatIntervalS;
constexpr double kMigrationDowntimeShare = 0.0027;
constexpr double kConcurrentMigrationShare = 0.0067;
constexpr double kEvacuationUtilization = 0.67;

// Retry intervals for which a job that failed on a machine is not put there again.
constexpr double kFaultRetries = 12;

// Of the time that an array's objectives leave it before it must have a machine, the share that it
// waits for room on spot machines and on those that exist; estimates are often wrong by half.
// Where a time to finish is named there is none to lose: what is left is rarely known that well.
constexpr double kPatienceShare = 0.7;
constexpr double kFinishPatienceShare = 0.35;
constexpr double kEstimateSlack = 1.5;

}  // namespace

// One pass over the pending jobs: existing machines first, then room that is on its way, then
// rents.
class SchedulingCycle {
 public:
  SchedulingCycle(Cluster* cluster, double now) : cluster_(*cluster), now_(now) {}

  void Run() {
    queue_ = BuildQueue();
    cluster_.starved_gang_reservations_.clear();
    cluster_.gang_headroom_.clear();
    FindCandidates();
    ForecastGangDemand();
    bool kept = false;
    for (next_ = 0; next_ < queue_.size();) {
      Job* job = queue_[next_++];
      if (!kept && job->spec.priority > wire::Priority::kHigh) {
        kept = true;
        ReserveGangHeadroom();
      }
      PlaceJob(job);
    }
    if (!kept) ReserveGangHeadroom();
    ReserveHeadroom();
    ScaleOutForForecastGangs();
    ConsolidateServices();
  }

  // Fills one machine, on which room was freed since the last whole pass: of what that pass looked
  // for room for, in the same order.
  void BackfillMachine(Machine* m) {
    if (m->full_until > now_) return;
    queue_ = BuildQueue();
    FindSmallestRequest();
    candidates_.assign(1, m);
    for (Job* job : queue_) {
      if (!smallest_request_.Fits(AvailableOn(*m))) return;
      if (!job->considered || job->gang) continue;
      if (job->spec.one_zone && job->zone_counts.empty()) continue;
      one_zone_.reset();
      PlaceOn(job, [](const Machine&) { return true; });
    }
  }

  // Starts services here that wait for the report of a machine which suits them no better.
  void StealUnsentServices(Machine* m) {
    if (m->full_until > now_) return;
    std::vector<Attempt*> waiting;
    for (const auto& [key, a] : cluster_.unsent_services_) {
      if (a->machine != m && a->job->request.Fits(AvailableOn(*m))) waiting.push_back(a);
    }
    for (Attempt* a : waiting) {
      Job* job = a->job;
      Machine* from = a->machine;
      if (!job->request.Fits(AvailableOn(*m)) || !MachineSuits(*job, *m)) continue;
      const std::map<std::string, int> leaves{{from->zone, -1}};
      one_zone_.reset();
      if (!ZoneAllowed(*job, m->zone, leaves)) continue;
      const double soon_s = StartWithin(*job) / 2;
      if (ServiceRank(*job, *m, RunsServices(*m), soon_s) >
          ServiceRank(*job, *from, RunsServices(*from), soon_s)) {
        continue;
      }
      // Nothing was sent there: as far as that machine goes nothing has happened.
      const double idle_since = from->idle_since;
      cluster_.RemoveAttempt(a, now_);
      from->idle_since = idle_since;
      PlaceTask(job, m, MakeAttempt(cluster_.term_, cluster_.next_attempt_++));
    }
  }

 private:
  // What a search for room depends on. Room only shrinks within a pass: where a job without further
  // restrictions found none, a like one or a more demanding one need not look again.
  struct PlacementConstraints {
    Resources request;
    bool spot = false;
    std::optional<std::vector<std::string>> types;
    std::optional<std::string> zone;
    wire::Priority priority = wire::Priority::kProduction;
    bool patient = false;

    bool Dominates(const PlacementConstraints& other) const {
      return request.Fits(other.request) && (spot || !other.spot) &&
             (!types || types == other.types) && (!zone || zone == other.zone);
    }
  };
  PlacementConstraints ConstraintsOf(const Job& job) const {
    return {job.request, job.spec.spot, job.spec.types, job.spec.zone, job.spec.priority, false};
  }
  // Whether what it finds depends on nothing else of the job.
  static bool HasOnlyStaticConstraints(const Job& job) {
    return !job.spec.one_zone && !job.spec.spread && job.failed_on.empty();
  }
  static bool KnownUnschedulable(const std::vector<PlacementConstraints>& unschedulable,
                                 const PlacementConstraints& search) {
    return std::any_of(unschedulable.begin(), unschedulable.end(),
                       [&](const PlacementConstraints& known) { return known.Dominates(search); });
  }

  // The least that any task in the order takes.
  void FindSmallestRequest() {
    constexpr double kMost = std::numeric_limits<double>::max();
    smallest_request_ = {kMost, kMost, kMost};
    for (const Job* job : queue_) {
      smallest_request_.cpus = std::min(smallest_request_.cpus, job->request.cpus);
      smallest_request_.gpus = std::min(smallest_request_.gpus, job->request.gpus);
      smallest_request_.memory_gb = std::min(smallest_request_.memory_gb, job->request.memory_gb);
    }
  }
  // Machines with room for anything at all, in the order of their ids.
  void FindCandidates() {
    FindSmallestRequest();
    if (queue_.empty()) return;
    for (auto& [id, m] : cluster_.machines_) {
      if (cluster_.MachineUsable(*m) && m->full_until <= now_ &&
          smallest_request_.Fits(AvailableOn(*m))) {
        candidates_.push_back(m.get());
      }
    }
  }
  // Room that is on its way: a booting machine, an unanswered rent request, or what stops on a
  // machine leave behind.
  struct UpcomingCapacity {
    std::string type;
    std::string zone;
    bool spot = false;
    Resources free;
  };

  std::vector<Job*> BuildQueue() {
    FindTeamsWithinGuarantee();
    std::vector<Job*> jobs;
    for (auto& [key, job] : cluster_.active_jobs_) {
      if (job->pending == 0 || !job->Live() || !job->stored || job->not_before > now_) continue;
      if (!cluster_.reconciled_ && MayHaveUnreconciledCopies(*job)) continue;
      jobs.push_back(job);
    }
    // Oldest first within a priority. A job past its dispatch deadline has used up its place.
    std::stable_sort(jobs.begin(), jobs.end(), [&](const Job* a, const Job* b) {
      const bool late_a = now_ - a->accepted_at > cluster_.operator_settings_.deadline_s;
      const bool late_b = now_ - b->accepted_at > cluster_.operator_settings_.deadline_s;
      const bool sure_a = WithinGuaranteedQuota(*a);
      const bool sure_b = WithinGuaranteedQuota(*b);
      if (sure_a != sure_b) return sure_a;
      const int rank_a = Rank(*a);
      const int rank_b = Rank(*b);
      if (rank_a != rank_b) return rank_a < rank_b;
      return late_a < late_b;
    });
    return jobs;
  }

  // Before the takeover is settled: whether tasks of the job, or of its team if that has a limit,
  // may be on a machine that has not acknowledged the term. Nothing is on machines that it may not
  // use.
  bool MayHaveUnreconciledCopies(const Job& job) {
    if (HasQuotaLimit(job)) return true;
    if (!job.inherited) return false;
    if (!unreconciled_offers_known_) {
      unreconciled_offers_known_ = true;
      for (const auto& [id, m] : cluster_.machines_) {
        if (cluster_.MayHaveUnreconciledTasks(*m))
          unreconciled_offers_.emplace(m->type_name, m->zone, m->spot);
      }
    }
    return std::any_of(unreconciled_offers_.begin(), unreconciled_offers_.end(),
                       [&](const auto& offer) {
                         const auto& [type, zone, spot] = offer;
                         return (job.spec.spot || !spot) && TypeAllowed(job, type) &&
                                (!job.spec.zone || *job.spec.zone == zone);
                       });
  }

  // Strict priority would let a stream of better work keep a job from ever beginning: one of which
  // nothing has started for too long goes ahead of all but production.
  bool Starved(const Job& job) const {
    return !job.started && job.done == 0 &&
           now_ - job.accepted_at >= cluster_.operator_settings_.starvation_limit_s;
  }
  int Rank(const Job& job) const {
    const int rank = 2 * static_cast<int>(job.spec.priority);
    return Starved(job) ? std::min(rank, 1) : rank;
  }

  const config::Team* TeamOf(const Job& job) const {
    return cluster_.settings_.FindTeam(job.spec.team);
  }

  // Teams whose unfinished jobs all fit within what they are guaranteed need not wait for others.
  void FindTeamsWithinGuarantee() {
    std::map<std::string, Resources> asked;
    for (const config::Team& team : cluster_.settings_.teams) {
      if (team.cpus > 0 || team.gpus > 0) asked[team.name];
    }
    if (asked.empty()) return;
    for (const auto& [key, job] : cluster_.active_jobs_) {
      const auto it = asked.find(job->spec.team);
      if (it == asked.end() || !job->Live()) continue;
      const double left = job->spec.tasks - job->done;
      it->second.cpus += left * job->request.cpus;
      it->second.gpus += left * job->request.gpus;
    }
    for (const auto& [name, sum] : asked) {
      const config::Team* team = cluster_.settings_.FindTeam(name);
      if (sum.cpus <= team->cpus && sum.gpus <= team->gpus) teams_within_guarantee_.insert(name);
    }
  }
  bool WithinGuaranteedQuota(const Job& job) const {
    return teams_within_guarantee_.contains(job.spec.team);
  }

  // Work that another team runs beyond its own guarantee may be stopped for a guaranteed job.
  bool ExceedsGuaranteedQuota(const Job& job, const Job& other) {
    if (!WithinGuaranteedQuota(job) || job.spec.team == other.spec.team) return false;
    const config::Team* team = TeamOf(other);
    Resources used = cluster_.team_usage_[other.spec.team];
    used -= reclaimed_quota_[other.spec.team];
    return team == nullptr || used.cpus > team->cpus || used.gpus > team->gpus;
  }

  bool HasQuotaLimit(const Job& job) const {
    const config::Team* team = TeamOf(job);
    return team == nullptr || team->cpus_max > 0 || team->gpus_max > 0;
  }

  // The team's limit counts everything of the team that may be on a machine.
  bool WithinQuotaLimit(const Job& job, uint32_t tasks = 1) const {
    const config::Team* team = TeamOf(job);
    if (team == nullptr) return false;
    constexpr double kSlack = 1e-6;
    const Resources& used = cluster_.team_usage_[job.spec.team];
    const double cpus = used.cpus + tasks * job.request.cpus;
    const double gpus = used.gpus + tasks * job.request.gpus;
    return (team->cpus_max <= 0 || cpus <= team->cpus_max + kSlack) &&
           (team->gpus_max <= 0 || gpus <= team->gpus_max + kSlack);
  }

  bool TypeAllowed(const Job& job, const std::string& type) const {
    return !job.spec.types ||
           std::find(job.spec.types->begin(), job.spec.types->end(), type) != job.spec.types->end();
  }

  // `planned`: tasks that this pass means to put on room that is on its way, by zone.
  bool ZoneAllowed(const Job& job, const std::string& zone,
                   const std::map<std::string, int>& planned) const {
    if (job.spec.zone && *job.spec.zone != zone) return false;
    if (job.spec.one_zone) {
      if (one_zone_) {
        if (*one_zone_ != zone) return false;
      } else {
        for (const auto& [other, count] : job.zone_counts) {
          if (other != zone) return false;
        }
        for (const auto& [other, count] : planned) {
          if (other != zone) return false;
        }
      }
    }
    if (job.spec.spread) {
      if (SpreadCapacity(job, zone, planned) < 1) return false;
    }
    return true;
  }

  // How many more tasks of a spread job the zone may take.
  static int SpreadCapacity(const Job& job, const std::string& zone,
                            const std::map<std::string, int>& planned) {
    int room = static_cast<int>((job.spec.tasks + 1) / 2);
    if (const auto it = job.zone_counts.find(zone); it != job.zone_counts.end()) {
      room -= it->second;
    }
    if (const auto it = planned.find(zone); it != planned.end()) room -= it->second;
    return room;
  }

  bool MachineAllowed(const Job& job, const Machine& m) const {
    if (!cluster_.MachineUsable(m) || m.full_until > now_) return false;
    return MachineSuits(job, m);
  }
  bool MachineSuits(const Job& job, const Machine& m) const {
    if (m.spot && !job.spec.spot) return false;
    if (!TypeAllowed(job, m.type_name)) return false;
    if (job.failed_on.size() >= kFaultyJobThreshold) return true;
    // Not for good: it may be the only machine with room that there is.
    const auto failed = job.failed_on.find(m.id);
    return failed == job.failed_on.end() ||
           now_ - failed->second >= kFaultRetries * cluster_.operator_settings_.retry_s;
  }

  // `for_gangs`: the room that is kept for gangs included.
  Resources AvailableOn(const Machine& m, bool for_gangs) const {
    Resources free = m.capacity;
    free -= m.used;
    if (!cluster_.starved_gang_reservations_.empty()) {
      if (const auto it = cluster_.starved_gang_reservations_.find(m.id);
          it != cluster_.starved_gang_reservations_.end())
        free -= it->second;
    }
    if (!cluster_.gang_headroom_.empty() && !for_gangs) {
      if (const auto it = cluster_.gang_headroom_.find(m.id); it != cluster_.gang_headroom_.end())
        free -= it->second;
    }
    return free;
  }

  Resources AvailableOn(const Machine& m) const { return AvailableOn(m, placing_gang_); }

  static uint32_t FitCount(const Resources& request, const Resources& room, uint32_t most) {
    if (!request.Fits(room)) return 0;
    constexpr double kSlack = 1e-6;
    double count = most;
    if (request.cpus > 0) count = std::min(count, std::floor((room.cpus + kSlack) / request.cpus));
    if (request.gpus > 0) count = std::min(count, std::floor((room.gpus + kSlack) / request.gpus));
    if (request.memory_gb > 0) {
      count = std::min(count, std::floor((room.memory_gb + kSlack) / request.memory_gb));
    }
    return static_cast<uint32_t>(count);
  }

  void PlaceJob(Job* job) {
    job->considered = true;
    one_zone_.reset();
    if (job->spec.one_zone && job->zone_counts.empty()) ChooseZone(*job);
    if (job->gang) {
      placing_gang_ = true;
      PlaceGang(job);
      placing_gang_ = false;
      return;
    }
    const PlacementConstraints search = ConstraintsOf(*job);
    if (!KnownUnschedulable(no_free_capacity_, search)) PlaceWhereFree(job);
    if (job->pending == 0 || !WithinQuotaLimit(*job)) return;
    if (HasOnlyStaticConstraints(*job) && !KnownUnschedulable(no_free_capacity_, search))
      no_free_capacity_.push_back(search);
    uint32_t left = job->pending;
    std::map<std::string, int> planned;
    if (job->spec.priority <= wire::Priority::kHigh || HasDeadline(*job) ||
        WithinGuaranteedQuota(*job)) {
      left = Preempt(job, left, &planned);
    }
    left = UseUpcomingCapacity(*job, left, &planned);
    if (left > 0) ScaleOut(*job, left, &planned);
  }

  void PlaceWhereFree(Job* job) {
    if (job->spec.kind == wire::JobKind::kService) {
      const double soon_s = StartWithin(*job) / 2;
      for (int rank = 0; rank < kWorstServiceRank; ++rank) {
        PlaceOn(job, [&](const Machine& m) {
          return ServiceRank(*job, m, m.services > 0, soon_s) <= rank;
        });
      }
    }
    // Dear machines should be the ones that fall idle.
    PlaceOn(job, [](const Machine& m) { return m.spot; });
    PlaceOn(job, [](const Machine&) { return true; });
  }

  // Services stay for long: they go where services are, so that machines which only arrays keep
  // busy can go back when those end. And they start soonest where their image is, or comes quickly.
  // 0 is the best machine for the service.
  static constexpr int kWorstServiceRank = 9;
  int ServiceRank(const Job& job, const Machine& m, bool beside_services, double soon_s) const {
    const bool has_image = m.images.contains(job.spec.image);
    if (has_image || job.spec.image_gb <= soon_s * m.type->fetch_gb_per_s) {
      return (ZoneHasController(m.zone) ? 0 : 4) + (has_image ? 0 : 2) + (beside_services ? 0 : 1);
    }
    return beside_services ? kWorstServiceRank - 1 : kWorstServiceRank;
  }

  // Services whose start was sent are on it.
  static bool RunsServices(const Machine& m) {
    return m.services > 0 &&
           std::any_of(m.attempts.begin(), m.attempts.end(), [](const auto& entry) {
             const Attempt& a = *entry.second;
             return a.job->spec.kind == wire::JobKind::kService && a.holds_allocation &&
                    (a.start_sent || a.listed);
           });
  }

  // A gang starts only when all its tasks fit. What is lost of it before it has run is replaced;
  // otherwise it starts anew, once nothing of it is left anywhere.
  void PlaceGang(Job* job) {
    const bool replaces = cluster_.MayReplaceLostTasks(*job);
    if (!replaces && !cluster_.GangIsClear(job)) {
      // An earlier leader's attempt of which tasks are missing now that all machines were heard.
      if (job->gang->state() != GangState::kWaiting || !job->gang->MayReplace()) {
        cluster_.StopGang(job, false, now_);
      }
      return;
    }
    if (!WithinQuotaLimit(*job, job->pending)) return;
    std::vector<Machine*> places;
    std::map<std::string, int> planned;
    for (Machine* m : candidates_) {
      if (!MachineSuits(*job, *m) || (replaces && Knows(*m, *job))) continue;
      Resources free = AvailableOn(*m);
      while (places.size() < job->pending && job->request.Fits(free) &&
             ZoneAllowed(*job, m->zone, planned)) {
        free -= job->request;
        ++planned[m->zone];
        places.push_back(m);
      }
    }
    if (places.size() == job->pending) {
      // Workers let a gang's tasks go when all of one attempt have come: they share its number.
      if (!replaces) job->gang->OnPlaced(MakeAttempt(cluster_.term_, cluster_.next_attempt_++));
      for (Machine* m : places) PlaceTask(job, m, job->gang->attempt());
      return;
    }
    // A stream of smaller work would fill each room that is freed before all of it is there.
    if (Starved(*job)) {
      for (const Machine* m : places) cluster_.starved_gang_reservations_[m->id] += job->request;
    }
    auto left = job->pending - static_cast<uint32_t>(places.size());
    left = UseUpcomingCapacity(*job, left, &planned);
    if (left > 0) ScaleOut(*job, left, &planned);
  }

  // A worker that has had a task does not start it again with the same attempt number.
  static bool Knows(const Machine& m, const Job& job) {
    return std::any_of(m.attempts.begin(), m.attempts.end(),
                       [&](const auto& entry) { return entry.second->job == &job; });
  }

  // A zone with a controller can be led from inside when it is cut off; in one without, all leases
  // end. Services, which should never be down, go to the former as far as there is room.
  bool ZoneHasController(const std::string& zone) const {
    const auto& peers = cluster_.settings_.peers;
    return zone == cluster_.settings_.zone ||
           std::any_of(peers.begin(), peers.end(),
                       [&](const config::Peer& peer) { return peer.zone == zone; });
  }

  // How soon the job's class should start; without an objective, a report period.
  double StartWithin(const Job& job) const {
    const config::Objective* objective = WaitObjective(job);
    return objective == nullptr ? cluster_.settings_.heartbeat_interval_s : objective->within_s;
  }
  const config::Objective* WaitObjective(const Job& job) const {
    const auto& objectives = cluster_.settings_.objectives;
    const auto it =
        std::find_if(objectives.begin(), objectives.end(), [&](const config::Objective& o) {
          return o.job_class == job.spec.job_class && o.kind == config::ObjectiveKind::kWait;
        });
    return it == objectives.end() ? nullptr : &*it;
  }

  template <typename F>
  void PlaceOn(Job* job, F&& wanted) {
    const std::map<std::string, int> none;
    bool filled = false;
    for (Machine* m : candidates_) {
      if (job->pending == 0) break;
      if (!job->request.Fits(AvailableOn(*m)) || !MachineSuits(*job, *m) || !wanted(*m)) continue;
      while (job->pending > 0 && job->request.Fits(AvailableOn(*m)) &&
             ZoneAllowed(*job, m->zone, none) && WithinQuotaLimit(*job)) {
        PlaceTask(job, m, MakeAttempt(cluster_.term_, cluster_.next_attempt_++));
        filled = true;
      }
    }
    if (filled)
      std::erase_if(candidates_,
                    [&](const Machine* m) { return !smallest_request_.Fits(AvailableOn(*m)); });
  }

  double SlowestBoot() const {
    double boot_s = 0;
    for (const auto& [name, type] : cluster_.types_) boot_s = std::max(boot_s, type.boot_s);
    return boot_s;
  }

  // A production service should start at once, and no machine boots that quickly: some room is kept
  // that is free or holds work that may be stopped.
  void ReserveHeadroom() {
    cluster_.headroom_surplus_ = 0;
    const Job* latest = nullptr;
    uint32_t running = 0;
    const double boot_s = SlowestBoot();
    double recent = 0;
    for (const auto& [key, job] : cluster_.active_jobs_) {
      if (job->spec.kind != wire::JobKind::kService || !job->Live() ||
          job->spec.priority != wire::Priority::kProduction) {
        continue;
      }
      latest = job;  // active jobs are in the order of their acceptance
      running += job->spec.tasks;
      if (now_ - job->accepted_at < kHeadroomWindowBoots * boot_s) recent += job->spec.tasks;
    }
    if (latest == nullptr) {
      cluster_.headroom_surplus_ = std::numeric_limits<int>::max() / 2;  // none is wanted
      for (auto& [id, m] : cluster_.machines_) m->headroom_slots = 0;
      return;
    }
    const double arriving = recent / kHeadroomWindowBoots * kHeadroomBoots;
    const int wanted =
        1 + static_cast<int>(std::min(arriving, kHeadroomShare * static_cast<double>(running)));
    wire::JobSpec any = latest->spec;
    any.zone.reset();
    any.one_zone = any.spread = false;
    Job probe;
    probe.spec = any;
    probe.request = latest->request;
    int room = 0;
    for (auto& [id, m] : cluster_.machines_) {
      m->headroom_slots = 0;
      if (!MachineAllowed(probe, *m)) continue;
      // What is kept for gangs counts as well: production goes before them.
      Resources free = AvailableOn(*m, /*for_gangs=*/true);
      free += LesserArrays(*m, probe.spec.priority);
      m->headroom_slots = static_cast<int>(FitCount(probe.request, free, 1000));
      room += m->headroom_slots;
    }
    cluster_.headroom_surplus_ = room - wanted;
    if (cluster_.headroom_surplus_ >= 0) return;
    std::map<std::string, int> planned;
    const auto missing = static_cast<uint32_t>(-cluster_.headroom_surplus_);
    const uint32_t left = UseUpcomingCapacity(probe, missing, &planned);
    if (left > 0) ScaleOut(probe, left, &planned);
  }

  // Gangs that should start sooner than any machine boots, and how many of their tasks will come in
  // that time. Those whose objectives leave time for a boot need no room kept.
  void ForecastGangDemand() {
    const double window_s = kHeadroomWindowBoots * SlowestBoot();
    for (const auto& [name, recent] : cluster_.gang_arrivals_.Recent(now_, window_s)) {
      Job probe;
      probe.spec = recent.latest;
      probe.request = RequestOf(recent.latest);
      double ready_s = std::numeric_limits<double>::max();
      for (const auto& [type_name, type] : cluster_.types_) {
        if (cluster_.FitsType(probe.spec, type))
          ready_s = std::min(ready_s, ReadyTime(probe, type));
      }
      ready_s *= kHeadroomBoots;
      if (WaitObjective(probe) == nullptr || StartWithin(probe) > ready_s) continue;
      const double coming = recent.tasks / window_s * ready_s;
      const auto tasks = std::max(recent.largest, static_cast<uint32_t>(std::ceil(coming)));
      gang_forecasts_.push_back({std::move(probe), tasks, std::nullopt});
    }
  }

  // Arrays would fill each room that gangs leave behind, and the next gang would have to wait for
  // machines to boot: some room in one zone is left free for it.
  void ReserveGangHeadroom() {
    for (GangForecast& forecast : gang_forecasts_) {
      placing_gang_ = true;
      one_zone_.reset();
      ChooseZone(forecast.probe, forecast.missing);
      placing_gang_ = false;
      if (!one_zone_) continue;
      forecast.zone = one_zone_;
      for (Machine* m : candidates_) {
        if (forecast.missing == 0) break;
        if (m->zone != *one_zone_ || !MachineSuits(forecast.probe, *m)) continue;
        const uint32_t fit = FitCount(forecast.probe.request, AvailableOn(*m), forecast.missing);
        for (uint32_t i = 0; i < fit; ++i) cluster_.gang_headroom_[m->id] += forecast.probe.request;
        forecast.missing -= fit;
      }
    }
    one_zone_.reset();
  }

  void ScaleOutForForecastGangs() {
    for (const GangForecast& forecast : gang_forecasts_) {
      if (forecast.missing == 0) continue;
      std::map<std::string, int> planned;
      one_zone_ = forecast.zone;
      const uint32_t left = UseUpcomingCapacity(forecast.probe, forecast.missing, &planned);
      if (left > 0) ScaleOut(forecast.probe, left, &planned);
    }
    one_zone_.reset();
  }

  // Machines that arrays and services shared are left with a service or two when load falls, and
  // cost as much as full ones (hljod grown steady from 565 s on: 80 machines for 460 CPUs, later 48
  // for 108).
  void ConsolidateServices() {
    if (!cluster_.reconciled_ || now_ < cluster_.next_migration_at_) return;
    double services = 0;
    double start_within_s = cluster_.settings_.lease_s;
    for (const auto& [key, job] : cluster_.active_jobs_) {
      if (job->spec.kind != wire::JobKind::kService || !job->Live()) continue;
      if (job->pending > 0 || job->running < job->spec.tasks) return;  // one thing after the other
      services += job->spec.tasks;
      start_within_s = std::min(start_within_s, StartWithin(*job));
    }
    // The sooner services must start, the sooner one that is away is missed.
    const double patience = start_within_s / cluster_.settings_.lease_s;
    const double at_once_s =
        kConcurrentMigrationShare * patience * services * cluster_.settings_.lease_s;
    if (at_once_s < kMigrationDowntimeS) return;
    std::vector<Machine*> sources;
    for (auto& [id, m] : cluster_.machines_) {
      if (m->draining && !m->terminating) return;
      if (CanBeEvacuated(*m) && cluster_.headroom_surplus_ >= m->headroom_slots + m->services &&
          m->services * kMigrationDowntimeS <= at_once_s) {
        sources.push_back(m.get());
      }
    }
    // What saves most for each task that is moved. Few are tried: each looks at all machines.
    constexpr size_t kTries = 4;
    const size_t tries = std::min(kTries, sources.size());
    std::partial_sort(sources.begin(), sources.begin() + static_cast<std::ptrdiff_t>(tries),
                      sources.end(), [](const Machine* x, const Machine* y) {
                        const double a = x->type->price * y->services;
                        const double b = y->type->price * x->services;
                        return a != b ? a > b : x->id > y->id;
                      });
    for (size_t i = 0; i < tries; ++i) {
      Machine* source = sources[i];
      std::map<std::string, Resources> taken;
      if (!std::all_of(source->attempts.begin(), source->attempts.end(), [&](const auto& entry) {
            return FindMigrationTarget(*entry.second, &taken);
          })) {
        continue;
      }
      source->draining = source->cordoned = true;
      for (const auto& [key, a] : source->attempts) cluster_.StopAttempt(a.get(), 0, now_);
      cluster_.next_migration_at_ = now_ + source->services * kMigrationDowntimeS /
                                               (kMigrationDowntimeShare * patience * services);
      cluster_.retry_at_ = std::min(cluster_.retry_at_, cluster_.next_migration_at_);
      return;
    }
  }

  bool CanBeEvacuated(const Machine& m) const {
    if (!cluster_.MachineUsable(m) || m.services == 0 ||
        static_cast<size_t>(m.services) != m.attempts.size() ||
        m.used.cpus > kEvacuationUtilization * m.capacity.cpus) {
      return false;
    }
    return std::all_of(m.attempts.begin(), m.attempts.end(), [&](const auto& entry) {
      const Attempt& a = *entry.second;
      return a.phase == AttemptPhase::kRunning && !a.stop && a.job->spec.checkpoint_s == 0 &&
             now_ - a.running_since > 2 * cluster_.settings_.lease_s;
    });
  }

  // A machine beside other services where the task could start at once. What is found is added to
  // `taken`.
  bool FindMigrationTarget(const Attempt& a, std::map<std::string, Resources>* taken) const {
    const Job& job = *a.job;
    if (job.spec.one_zone) return false;
    const std::map<std::string, int> leaves{{a.machine->zone, -1}};
    // Only to fuller machines, or equally full ones in one direction: nothing moves to and fro.
    const auto fuller = [&](const Machine& m) {
      return m.used.cpus != a.machine->used.cpus ? m.used.cpus > a.machine->used.cpus
                                                 : m.id < a.machine->id;
    };
    for (const auto& [id, m] : cluster_.machines_) {
      if (m->services == 0 || !fuller(*m) || !m->images.contains(job.spec.image) ||
          !MachineAllowed(job, *m)) {
        continue;
      }
      Resources free = AvailableOn(*m);
      free -= (*taken)[id];
      if (!job.request.Fits(free) || !ZoneAllowed(job, m->zone, leaves)) continue;
      (*taken)[id] += job.request;
      return true;
    }
    return false;
  }

  // What arrays of lesser priority hold of the machine.
  static Resources LesserArrays(const Machine& m, wire::Priority priority) {
    Resources sum;
    for (size_t p = static_cast<size_t>(priority) + 1; p < m.array_use.size(); ++p) {
      sum += m.array_use[p];
    }
    return sum;
  }

  void PlaceTask(Job* job, Machine* m, uint64_t number) {
    uint32_t index = job->first_pending;
    while (job->tasks[index] != TaskState::kPending) ++index;
    job->first_pending = index + 1;
    Attempt* a = cluster_.AddAttempt(m, job, index, number, now_);
    cluster_.Activate(a);
    if (job->spec.kind == wire::JobKind::kService) {
      cluster_.unsent_services_.emplace(Cluster::KeyOf(*a), a);
    }
  }

  // All tasks of the job must be in one zone: the one with most room for it.
  void ChooseZone(const Job& job) { ChooseZone(job, job.pending); }
  void ChooseZone(const Job& job, uint32_t tasks) {
    std::map<std::string, uint32_t> room;
    for (const Machine* m : candidates_) {
      if (!MachineSuits(job, *m)) continue;
      room[m->zone] += FitCount(job.request, AvailableOn(*m), tasks);
    }
    uint32_t best = 0;
    for (const auto& [zone, count] : room) {
      if (count > best && (!job.spec.zone || *job.spec.zone == zone)) {
        best = count;
        one_zone_ = zone;
      }
    }
  }

  // Stops lesser work to make room. Returns how many tasks still have no room coming.
  uint32_t Preempt(Job* job, uint32_t left, std::map<std::string, int>* planned) {
    // Production does not wait for others to save; the rest only takes what can save.
    const bool urgent = job->spec.priority <= wire::Priority::kHigh;
    const bool sure = WithinGuaranteedQuota(*job);
    const PlacementConstraints search = ConstraintsOf(*job);
    const auto unschedulable = [&](const PlacementConstraints& known) {
      return known.Dominates(search) && known.priority <= job->spec.priority;
    };
    if (!sure && std::any_of(unpreemptible_.begin(), unpreemptible_.end(), unschedulable))
      return left;
    for (auto& [id, m] : cluster_.machines_) {
      if (left == 0) break;
      if (!sure && m->stopping == 0) {
        // Only arrays of lesser priority can make room here.
        const Resources lesser = LesserArrays(*m, job->spec.priority);
        if (lesser.cpus <= 0 && lesser.gpus <= 0 && lesser.memory_gb <= 0) continue;
        Resources most = AvailableOn(*m);
        most += lesser;
        if (!job->request.Fits(most)) continue;
      }
      if (!MachineAllowed(*job, *m) || !ZoneAllowed(*job, m->zone, *planned)) continue;
      Resources coming = AvailableOn(*m);
      if (const auto it = claimed_capacity_.find(id); it != claimed_capacity_.end())
        coming -= it->second;
      std::vector<Attempt*> victims;
      for (auto& [key, a] : m->attempts) {
        if (!a->holds_allocation) continue;
        if (a->stop) {
          coming += a->job->request;
        } else if (ExceedsGuaranteedQuota(*job, *a->job) ||
                   (a->job->spec.priority > job->spec.priority &&
                    a->job->spec.kind == wire::JobKind::kArray &&
                    (urgent || a->job->spec.checkpoint_s > 0))) {
          victims.push_back(a.get());
        }
      }
      // The least important first, and of those the one that has lost least.
      std::sort(victims.begin(), victims.end(), [](const Attempt* a, const Attempt* b) {
        if (a->job->spec.priority != b->job->spec.priority) {
          return a->job->spec.priority > b->job->spec.priority;
        }
        return a->since > b->since;
      });
      size_t next = 0;
      while (left > 0 && ZoneAllowed(*job, m->zone, *planned)) {
        std::vector<Attempt*> chosen;
        Resources room = coming;
        size_t look = next;
        while (!job->request.Fits(room) && look < victims.size()) {
          Attempt* victim = victims[look++];
          const bool lesser = victim->job->spec.priority > job->spec.priority;
          if (!lesser && !ExceedsGuaranteedQuota(*job, *victim->job))
            continue;  // taken back already
          if (!lesser) reclaimed_quota_[victim->job->spec.team] += victim->job->request;
          room += victim->job->request;
          chosen.push_back(victim);
        }
        if (!job->request.Fits(room)) break;
        for (Attempt* a : chosen) PreemptAttempt(a, urgent);
        next = look;
        coming = room;
        coming -= job->request;
        claimed_capacity_[id] += job->request;
        ++(*planned)[m->zone];
        --left;
      }
    }
    if (left > 0 && !sure && HasOnlyStaticConstraints(*job)) unpreemptible_.push_back(search);
    return left;
  }

  // `urgent`: nobody waits for it to save. A gang is never stopped in part.
  void PreemptAttempt(Attempt* a, bool urgent) {
    if (a->job->gang) {
      cluster_.StopGang(a->job, !urgent && cluster_.CanStopAllTasks(*a->job, now_), now_);
    } else {
      cluster_.StopAttempt(a, urgent ? 0 : a->job->spec.save_s, now_);
    }
  }

  void FindUpcomingCapacity() {
    upcoming_capacity_known_ = true;
    for (const auto& [id, m] : cluster_.machines_) {
      if (m->cordoned || m->type == nullptr || m->from_list) continue;
      const bool waiting = m->stage == MachineStage::kBooting || !m->dispatchable ||
                           !m->acknowledged || m->epoch_expired;
      if (!waiting) continue;
      if (m->stage == MachineStage::kBooting &&
          now_ - m->requested_at > cluster_.operator_settings_.boot_late * m->type->boot_s) {
        continue;
      }
      if (m->stage == MachineStage::kUp &&
          now_ - m->last_heartbeat_at > cluster_.settings_.lease_s / 2) {
        continue;
      }
      UpcomingCapacity room{m->type_name, m->zone, m->spot, AvailableOn(*m)};
      upcoming_capacity_.push_back(std::move(room));
    }
    for (const auto& [name, scale_out] : cluster_.scale_outs_) {
      if (scale_out->answered) continue;
      const auto type = cluster_.types_.find(scale_out->type);
      if (type == cluster_.types_.end()) continue;
      for (int i = 0; i < scale_out->count; ++i)
        AddUpcomingCapacity(type->second, scale_out->zone, scale_out->spot);
    }
  }

  void AddUpcomingCapacity(const wire::MachineType& type, const std::string& zone, bool spot) {
    upcoming_capacity_.push_back({type.name, zone, spot, {type.cpus, type.gpus, type.memory_gb}});
  }

  uint32_t UseUpcomingCapacity(const Job& job, uint32_t left, std::map<std::string, int>* planned) {
    if (!upcoming_capacity_known_) FindUpcomingCapacity();
    const PlacementConstraints search = ConstraintsOf(job);
    if (KnownUnschedulable(no_upcoming_capacity_, search)) return left;
    for (UpcomingCapacity& room : upcoming_capacity_) {
      if (left == 0) break;
      if ((room.spot && !job.spec.spot) || !TypeAllowed(job, room.type)) continue;
      while (left > 0 && job.request.Fits(room.free) && ZoneAllowed(job, room.zone, *planned)) {
        room.free -= job.request;
        ++(*planned)[room.zone];
        --left;
      }
    }
    if (left > 0 && HasOnlyStaticConstraints(job)) no_upcoming_capacity_.push_back(search);
    return left;
  }

  struct MachineOffer {
    const wire::MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    uint32_t fit = 0;    // tasks on one machine
    uint32_t tasks = 0;  // tasks it may take in this zone
    double cost = 0;     // for one task
    double ready_s = 0;  // boot and image
  };

  // An array that is due at some time.
  bool HasDeadline(const Job& job) const {
    if (job.spec.kind != wire::JobKind::kArray) return false;
    return job.spec.deadline_s ||
           std::any_of(cluster_.settings_.objectives.begin(), cluster_.settings_.objectives.end(),
                       [&](const config::Objective& objective) {
                         return objective.job_class == job.spec.job_class &&
                                objective.kind == config::ObjectiveKind::kFinished;
                       });
  }

  // An array that its objectives leave time for does not rent at the ordinary price yet.
  bool CanWaitForSpot(const Job& job) const {
    if (job.spec.kind != wire::JobKind::kArray || !job.spec.spot ||
        job.spec.priority <= wire::Priority::kHigh) {
      return false;
    }
    double ready_s = std::numeric_limits<double>::max();
    for (const auto& [name, type] : cluster_.types_) {
      if (!cluster_.FitsType(job.spec, type)) continue;
      ready_s = std::min(ready_s, ReadyTime(job, type));
    }
    const double run_s = kEstimateSlack * job.spec.estimate_s;
    double start_by = std::numeric_limits<double>::max();
    double share = kPatienceShare;
    if (job.spec.deadline_s) start_by = *job.spec.deadline_s - run_s;
    for (const config::Objective& objective : cluster_.settings_.objectives) {
      if (objective.job_class != job.spec.job_class || objective.within_s <= 0) continue;
      if (objective.kind == config::ObjectiveKind::kWait) {
        start_by = std::min(start_by, objective.within_s);
      }
      if (objective.kind == config::ObjectiveKind::kFinished) {
        start_by = std::min(start_by, objective.within_s - run_s);
        share = kFinishPatienceShare;
      }
    }
    const double age_s = now_ - job.accepted_at;
    // Nobody says when it should be over: it waits for cheap room until it should have begun.
    if (start_by == std::numeric_limits<double>::max())
      return age_s < cluster_.operator_settings_.starvation_limit_s;
    return age_s < share * (start_by - ready_s);
  }

  static double ReadyTime(const Job& job, const wire::MachineType& type) {
    return type.boot_s + (type.fetch_gb_per_s > 0 ? job.spec.image_gb / type.fetch_gb_per_s : 0);
  }

  std::vector<MachineOffer> ListOffers(const Job& job, uint32_t left, uint32_t behind,
                                       const std::map<std::string, int>& planned) const {
    std::vector<MachineOffer> offers;
    const bool patient = CanWaitForSpot(job);
    for (const auto& [name, type] : cluster_.types_) {
      if (!cluster_.FitsType(job.spec, type)) continue;
      for (const std::string& zone : type.zones) {
        if (!ZoneAllowed(job, zone, planned)) continue;
        uint32_t tasks = left;
        if (job.spec.spread) {
          tasks = std::min(tasks,
                           static_cast<uint32_t>(std::max(0, SpreadCapacity(job, zone, planned))));
        }
        if (tasks == 0) continue;
        for (const bool spot : {true, false}) {
          if (spot && !job.spec.spot) continue;
          if (!spot && patient) continue;
          if (InCapacityBackoff(name, zone, spot)) continue;
          MachineOffer offer{&type, zone, spot};
          offer.tasks = tasks;
          offer.fit = FitCount(job.request, {type.cpus, type.gpus, type.memory_gb},
                               std::min(tasks + behind, 1000U));
          offer.ready_s = ReadyTime(job, type);
          // Services stay; their machines pay off over an idle machine's life at the least.
          const double stay =
              job.spec.kind == wire::JobKind::kService
                  ? 10 * cluster_.operator_settings_.idle_s
                  : std::max(job.spec.estimate_s, cluster_.operator_settings_.idle_s / 2);
          offer.cost = (spot ? type.spot_price : type.price) * (offer.ready_s + stay) /
                       std::max(1U, offer.fit);
          offers.push_back(std::move(offer));
        }
      }
    }
    return offers;
  }

  bool InCapacityBackoff(const std::string& type, const std::string& zone, bool spot) const {
    const auto it = cluster_.capacity_backoffs_.find(OfferKey(type, zone, spot));
    return it != cluster_.capacity_backoffs_.end() && it->second.until > now_;
  }

  size_t MachinesInZone(const std::string& zone) const {
    const auto it = cluster_.machines_in_zone_.find(zone);
    return it == cluster_.machines_in_zone_.end() ? 0 : it->second;
  }

  // The cheapest offer. Work that somebody waits for takes the quickest that costs little more.
  const MachineOffer* ChooseOffer(const Job& job, const std::vector<MachineOffer>& offers) const {
    double least = std::numeric_limits<double>::max();
    for (const MachineOffer& offer : offers) least = std::min(least, offer.cost);
    const MachineOffer* best = nullptr;
    size_t best_zone = 0;
    const bool hurry = job.spec.priority <= wire::Priority::kHigh || job.spec.deadline_s;
    const double left_s = job.spec.deadline_s ? job.accepted_at + *job.spec.deadline_s - now_ : 0;
    for (const MachineOffer& offer : offers) {
      const size_t zone = MachinesInZone(offer.zone);
      const auto rank = [&](const MachineOffer& o) {
        if (!hurry) return 0.0;
        // A spot or cheap machine that is in time for the deadline is as good as a quick one.
        if (job.spec.deadline_s && o.ready_s + 1.3 * job.spec.estimate_s <= left_s) return 0.0;
        return o.ready_s;
      };
      if (best == nullptr) {
        best = &offer;
        best_zone = zone;
        continue;
      }
      const double a = rank(offer);
      const double b = rank(*best);
      constexpr double kAcceptableCostRatio = 2.0;
      const bool safer = job.spec.kind == wire::JobKind::kService &&
                         ZoneHasController(offer.zone) != ZoneHasController(best->zone);
      bool better = false;
      if (safer) {
        better = ZoneHasController(offer.zone) ? offer.cost <= kAcceptableCostRatio * best->cost
                                               : best->cost > kAcceptableCostRatio * offer.cost;
      } else if (a != b) {
        const bool dear_a = offer.cost > kAcceptableCostRatio * least;
        const bool dear_b = best->cost > kAcceptableCostRatio * least;
        better = dear_a != dear_b ? dear_b : a < b;
      } else if (offer.cost != best->cost) {
        better = offer.cost < best->cost;
      } else {
        better = zone < best_zone;
      }
      if (better) {
        best = &offer;
        best_zone = zone;
      }
    }
    return best;
  }

  // Tasks of the jobs behind this one that are like its own: where it found no room they won't
  // either. They are rented for together, in few requests and machines of the right size.
  uint32_t SimilarBehind(const Job& job) const {
    uint32_t tasks = 0;
    if (job.spec.one_zone) return 0;
    const bool patient = CanWaitForSpot(job);
    for (size_t i = next_; i < queue_.size(); ++i) {
      const Job& other = *queue_[i];
      if (other.spec.kind == job.spec.kind && other.spec.priority == job.spec.priority &&
          other.spec.cpus == job.spec.cpus && other.spec.gpus == job.spec.gpus &&
          other.spec.memory_gb == job.spec.memory_gb && other.spec.spot == job.spec.spot &&
          other.spec.types == job.spec.types && other.spec.zone == job.spec.zone &&
          !other.spec.one_zone && CanWaitForSpot(other) == patient) {
        tasks += other.pending;
      }
    }
    return tasks;
  }

  void ScaleOut(const Job& job, uint32_t left, std::map<std::string, int>* planned) {
    if (scale_out_rate_exhausted_) return;
    PlacementConstraints search = ConstraintsOf(job);
    search.patient = CanWaitForSpot(job);
    const auto unschedulable = [&](const PlacementConstraints& known) {
      return known.Dominates(search) && known.patient == search.patient;
    };
    if (std::any_of(no_machine_offer_.begin(), no_machine_offer_.end(), unschedulable)) return;
    std::optional<uint32_t> similar;
    while (left > 0) {
      if (!similar) similar = SimilarBehind(job);
      const uint32_t behind = *similar;
      const std::vector<MachineOffer> offers = ListOffers(job, left, behind, *planned);
      const MachineOffer* offer = ChooseOffer(job, offers);
      if (offer == nullptr || offer->fit == 0) {
        if (HasOnlyStaticConstraints(job)) no_machine_offer_.push_back(search);
        return;
      }
      if (!cluster_.scale_out_rate_limiter_.Take(now_, 1, Importance::kNormal)) {
        const double wait = cluster_.scale_out_rate_limiter_.Wait(now_, 1, Importance::kNormal);
        cluster_.retry_at_ = std::min(cluster_.retry_at_, now_ + wait);
        scale_out_rate_exhausted_ = true;
        return;
      }
      const uint32_t tasks = std::min(left, offer->tasks) + behind;
      const int count = static_cast<int>(
          std::min<uint32_t>((tasks + offer->fit - 1) / offer->fit, wire::kMaxScaleOutCount));
      auto scale_out = std::make_unique<ScaleOutRecord>();
      scale_out->name =
          "r" + std::to_string(cluster_.term_) + "-" + std::to_string(cluster_.next_scale_out_++);
      scale_out->type = offer->type->name;
      scale_out->zone = offer->zone;
      scale_out->spot = offer->spot;
      scale_out->count = count;
      scale_out->requested_at = now_;
      // Named durably before the request: whoever leads next can ask for its machines again.
      cluster_.EnqueueRecord(
          std::string(kMachinePrefix) + scale_out->name,
          job.spec.priority <= wire::Priority::kHigh ? Importance::kUser : Importance::kNormal);
      for (int i = 0; i < count; ++i) AddUpcomingCapacity(*offer->type, offer->zone, offer->spot);
      cluster_.scale_outs_[scale_out->name] = std::move(scale_out);
      no_upcoming_capacity_.clear();
      left = UseUpcomingCapacity(job, left, planned);
    }
  }

  Cluster& cluster_;
  const double now_;
  std::set<std::string> teams_within_guarantee_;      // teams
  std::map<std::string, Resources> reclaimed_quota_;  // by team, what this pass stops of it
  std::vector<Job*> queue_;
  size_t next_ = 0;  // in queue_, behind the job that is being placed
  Resources smallest_request_;
  std::vector<Machine*> candidates_;
  // Searches of this pass that were in vain: for free room, for room to be made, for room on its
  // way, for something to rent.
  std::vector<PlacementConstraints> no_free_capacity_;
  std::vector<PlacementConstraints> unpreemptible_;
  std::vector<PlacementConstraints> no_upcoming_capacity_;
  std::vector<PlacementConstraints> no_machine_offer_;
  bool scale_out_rate_exhausted_ = false;  // no token for another rent request
  // Type, zone and kind of the machines that have not acknowledged the term.
  std::set<std::tuple<std::string, std::string, bool>> unreconciled_offers_;
  bool unreconciled_offers_known_ = false;
  std::optional<std::string> one_zone_;
  bool placing_gang_ = false;  // it may use the room that is kept for gangs
  struct GangForecast {
    Job probe;
    uint32_t missing = 0;  // tasks that no room is kept for
    std::optional<std::string> zone;
  };
  std::vector<GangForecast> gang_forecasts_;
  std::map<std::string, Resources> claimed_capacity_;
  std::vector<UpcomingCapacity> upcoming_capacity_;
  bool upcoming_capacity_known_ = false;
};

void Cluster::RunSchedulingCycle(double now) {
  schedule_due_ = false;
  retry_at_ = now + operator_settings_.retry_s +
              std::uniform_real_distribution<double>(0, operator_settings_.retry_jitter_s)(random_);
  cycle_rate_limiter_.Run(now, [&] { SchedulingCycle(this, now).Run(); });
}

void Cluster::BackfillMachine(Machine* m, double now) {
  SchedulingCycle(this, now).BackfillMachine(m);
}

void Cluster::StealUnsentServices(Machine* m, double now) {
  SchedulingCycle(this, now).StealUnsentServices(m);
}

bool Cluster::NeededAsHeadroom(const Machine& m) const {
  return m.headroom_slots > 0 && m.headroom_slots > headroom_surplus_;
}

void Cluster::IssueScaleOut(double now, CloudActions* cloud_actions) {
  for (auto& [name, scale_out] : scale_outs_) {
    if (!scale_out->stored || scale_out->answered || scale_out->sending ||
        scale_out->retry_at > now)
      continue;
    scale_out->sending = true;
    cloud_actions->scale_out.push_back(
        {scale_out->name, scale_out->type, scale_out->zone, scale_out->spot, scale_out->count});
  }
}

CloudActions Cluster::Schedule(double now, bool lease_expired) {
  CloudActions cloud_actions;
  CheckMachines(now, lease_expired, &cloud_actions);
  CheckReconciled();
  if (now >= cycle_rate_limiter_.next_at() && (schedule_due_ || now >= retry_at_))
    RunSchedulingCycle(now);
  IssueScaleOut(now, &cloud_actions);
  next_wake_ = std::min(now + settings_.heartbeat_interval_s / 2,
                        std::max(retry_at_, cycle_rate_limiter_.next_at()));
  return cloud_actions;
}

}  // namespace zinclead::core
