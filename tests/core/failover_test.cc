// Failover: when a new leader may restart inherited tasks.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "core_fixture.h"
#include "unreachable_machine.h"

namespace zinclead::core {
namespace {

// Guards against a second start of an inherited task that no heartbeat has listed: it may run on
// any machine that has not acknowledged the term.
TEST_F(CoreTest, InheritedTasksWaitUntilEveryMachineIsReconciled) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  Restart();
  const double all_leases_end = now_ + Cluster::LeaseRenewalGraceS(settings_) + settings_.lease_s;
  std::map<std::string, wire::TaskStatus> none;
  fencing_token_ = 0;
  BringUp("i-2", &none);
  BringUp("i-2", &none);
  EXPECT_TRUE(none.empty()) << "the inherited task was started twice";
  EXPECT_FALSE(cluster_->reconciled());
  // The tasks of i-1, which sends no heartbeats, become pending only when its lease must have
  // expired even if an earlier leader renewed it as late as possible.
  now_ = all_leases_end - 0.5;
  cluster_->Schedule(now_);
  EXPECT_FALSE(cluster_->reconciled());
  now_ = all_leases_end + settings_.heartbeat_interval_s;
  cluster_->Schedule(now_);
  EXPECT_TRUE(cluster_->reconciled());
}

// Guards against a failover that waits for LeaseRenewalGraceS although no earlier leader is left
// that could renew the lease of a silent machine: only that lease has to expire.
TEST_F(CoreTest, FailoverIsShorterWhenNoEarlierLeaderIsLeft) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  Restart();
  now_ += 1;
  cluster_->OnEarlierLeadersEnded(now_);
  now_ += settings_.lease_s - 0.5;
  cluster_->Schedule(now_);
  EXPECT_FALSE(cluster_->reconciled());
  now_ += 1 + settings_.heartbeat_interval_s;
  cluster_->Schedule(now_);
  EXPECT_TRUE(cluster_->reconciled());
}

// A machine that fails during a failover must not delay its services for LeaseRenewalGraceS plus
// its lease.
TEST_F(CoreTest, InheritedServicesAreFreedWhenTheSilentMachineIsTerminated) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec spec = testing::MakeJob("req-1");
  spec.kind = wire::JobKind::kService;
  spec.priority = wire::Priority::kProduction;
  Submit(spec);
  Store();
  BringUp("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 1U);
  Restart();
  now_ += settings_.lease_s;
  EXPECT_EQ(cluster_->Schedule(now_).scale_in, std::vector<std::string>{"i-1"});
  EXPECT_FALSE(cluster_->reconciled());
  cluster_->OnTerminated({"i-1"}, true, now_);
  EXPECT_TRUE(cluster_->reconciled());
}

// A machine without a downlink never acknowledges the term, which must not block the failover
// forever. If the cloud does not respond, the failover ends when the machine's lease must have
// expired.
TEST_F(CoreTest, FailoverEndsWhenAMachineHasLostItsDownlink) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  const uint64_t old_term = term_;
  Restart();
  const double began_at = now_;
  UnreachableMachine unreachable(cluster_.get(), settings_, "i-1", old_term, 1000);
  while (now_ < began_at + 20 * settings_.lease_s && !cluster_->reconciled()) {
    now_ += wire::kHeartbeatTimeoutS + 1;
    unreachable.Heartbeat(now_);
    cluster_->Schedule(now_);  // the cloud does not respond
  }
  EXPECT_TRUE(cluster_->reconciled());
  EXPECT_GT(now_, began_at + Cluster::LeaseRenewalGraceS(settings_) + settings_.lease_s);
  EXPECT_LT(now_, began_at + Cluster::LeaseRenewalGraceS(settings_) + 4 * settings_.lease_s);
}

}  // namespace
}  // namespace zinclead::core
