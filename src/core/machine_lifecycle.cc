#include "core/machine_lifecycle.h"

#include <algorithm>

namespace zinclead::core {
namespace {

// PROTOCOL: steady clocks may drift apart by 0.05%.
constexpr double kMaxClockDrift = 0.0005;

// Of the workers' lease, the silence after which a machine that a new leader never heard is
// replaced.
constexpr double kSilentShare = 0.4;

// A machine that has missed kUnacknowledgedLimit over this share of its lease does not hear us. A
// few reports that were held up and came together show nothing.
constexpr double kDownlinkLossShare = 0.5;

// Retry intervals for which a refused offer is left alone, at first and at most.
constexpr double kInitialBackoffRetries = 4;
constexpr double kMaxBackoffRetries = 16;

}  // namespace

// Work that saves is told to while there is time for it; the rest runs on to the end.
void MachineLifecycle::SaveBeforeNotice(Machine* m, double now) {
  if (!m->notice_at || m->terminating) return;
  for (auto& [key, a] : m->attempts) {
    // A gang's tasks that have saved wait for the others.
    const double wait_s = a->job->gang ? state_.settings.gang_peer_s : 0;
    if (a->job->spec.checkpoint_s > 0 && !a->stop &&
        *m->notice_at - now <=
            2 * a->job->spec.save_s + 2 * state_.settings.heartbeat_interval_s + wait_s) {
      attempts_.StopToSave(a.get(), now);
    }
  }
}

void MachineLifecycle::CheckMachines(double now, bool lease_expired, CloudActions* cloud_actions) {
  for (auto& [id, m] : state_.machines) SaveBeforeNotice(m.get(), now);
  // A newer leader may keep alive, and use, what a lapsed one hears nothing of: a leader that was
  // cut off with the machines of its zone took all others for gone after a lease, and ran their
  // tasks a second time. So its silence proves nothing, and what seems idle or dead is not its to
  // delete.
  if (lease_expired) return;
  // A worker whose answer got lost is silent for a report period, its patience and a second. After
  // a takeover nobody knows what is on a machine that is silent for longer. All that is inherited
  // and not seen may be there, and should not wait until its lease has ended for every earlier
  // leader (hljod grown rough: 50 s for 24 machines that had died): a deletion proves sooner that
  // it is gone. When many are silent the trouble is on our side.
  const double silent_s =
      std::max(kSilentShare * state_.settings.lease_s,
               2 * state_.settings.heartbeat_interval_s + wire::kHeartbeatTimeoutS + 1);
  size_t up = 0;
  size_t silent = 0;
  size_t downlink_lost = 0;
  const auto seems_unreachable = [&](const Machine& m) {
    return !m.ReceivesCommands() &&
           now - m.unacknowledged_since >= kDownlinkLossShare * state_.settings.lease_s;
  };
  for (const auto& [id, m] : state_.machines) {
    if (m->stage != MachineStage::kUp || m->terminating) continue;
    ++up;
    if (now - std::max(m->last_heartbeat_at, state_.started_at) > silent_s / 2) ++silent;
    if (seems_unreachable(*m)) ++downlink_lost;
  }
  const bool few_silent = silent <= 1 + up / 10;
  const bool few_downlinks_lost = downlink_lost <= 1 + up / 10;
  const bool work_held_up =
      !state_.reconciled &&
      std::any_of(state_.active_jobs.begin(), state_.active_jobs.end(), [](const auto& entry) {
        const Job& job = *entry.second;
        return job.inherited && job.Live() && job.pending > 0;
      });
  const double lease =
      state_.settings.lease_s * (1 + 4 * kMaxClockDrift) + state_.settings.heartbeat_interval_s / 4;
  for (auto& [id, m] : state_.machines) {
    if (m->stage == MachineStage::kUp && !m->epoch_expired) {
      // Until the worker has seen this term an earlier leader may have kept its lease alive, for
      // KeepAliveLimit after that leader's own lease, which ended before this term began, or until
      // all other controllers knew this term.
      const double alive_until =
          (m->acknowledged ? m->last_heartbeat_at
                           : std::max(m->last_heartbeat_at, state_.earlier_leader_deadline)) +
          lease;
      if (now > alive_until) {
        m->epoch_expired = true;
        attempts_.DropAllAttempts(m.get(), now);
        m->cordoned = true;
        m->terminating = true;
        state_.schedule_due = true;
      }
    }
    // It has missed nothing for a lease and its session goes on: it was answered.
    if (m->unacknowledged_responses > 0 && now - m->last_unacknowledged_at > lease)
      m->unacknowledged_responses = 0;
    if (few_downlinks_lost && !m->downlink_lost && m->stage == MachineStage::kUp &&
        seems_unreachable(*m)) {
      m->downlink_lost = true;
      m->cordoned = true;
      m->terminating = true;
    }
    if (few_silent && work_held_up && m->stage == MachineStage::kUp && !m->acknowledged &&
        !m->terminating && now - std::max(m->last_heartbeat_at, state_.started_at) > silent_s) {
      m->cordoned = true;
      m->terminating = true;
    }
    if (m->stage == MachineStage::kBooting && !m->terminating && m->type != nullptr &&
        now - m->requested_at > state_.operator_settings.boot_give_up * m->type->boot_s) {
      m->cordoned = true;
      m->terminating = true;
    }
    // Machines the list alone knows come up by themselves or are given up like the rest; without a
    // type nothing can ever be placed on them.
    // One that seems not to hear us is idle because it is given nothing: it is judged above.
    if (m->stage == MachineStage::kUp && !m->terminating && m->acknowledged &&
        m->ReceivesCommands() && m->attempts.empty() &&
        now - m->idle_since >= state_.operator_settings.idle_s && !NeededAsHeadroom(*m) &&
        !state_.gang_headroom.contains(id) &&
        now - m->requested_at >= wire::kMinChargeS - state_.settings.heartbeat_interval_s) {
      state_.headroom_surplus -= m->headroom_slots;
      m->headroom_slots = 0;
      m->cordoned = true;
      m->terminating = true;
    }
    if (m->cordoned && !m->terminating && m->attempts.empty() && m->acknowledged)
      m->terminating = true;
    // Its end by the cloud can't be seen; an answered deletion can.
    if (m->notice_at && now >= *m->notice_at) m->terminating = true;
    if (m->terminating && !m->termination_sent && m->terminate_retry_at <= now) {
      m->termination_sent = true;
      cloud_actions->scale_in.push_back(id);
    }
  }
}

void MachineLifecycle::Cordon(Machine* m, double now) {
  m->cordoned = true;
  for (auto& [key, a] : m->attempts) attempts_.StopToSave(a.get(), now);
  state_.schedule_due = true;
}

bool MachineLifecycle::NeededAsHeadroom(const Machine& m) const {
  return m.headroom_slots > 0 && m.headroom_slots > state_.headroom_surplus;
}

}  // namespace zinclead::core
