// The leader loses the state service and the other controllers, whose connections are reset, but
// neither its workers nor its users. Judges `forgotten`: all polls for an accepted job fail for 90
// s while most others get answers.
#include "case.h"

#include <cstdio>

namespace {

using namespace standins;

constexpr int kUsers = 24;
constexpr double kCutS = 104;
constexpr double kForgottenS = 90;

bool IsAnswer(const User::Poll& poll) { return poll.status == 200 || poll.status == 404; }

// The longest time from a failed poll to a later one with no answer between them; sets when it
// began.
double LongestSilence(const std::vector<User::Poll>& polls, double* began_at) {
  double longest = 0;
  double first = -1;
  for (const User::Poll& poll : polls) {
    if (IsAnswer(poll)) {
      first = -1;
      continue;
    }
    if (first < 0) first = poll.at;
    if (poll.at - first > longest) {
      longest = poll.at - first;
      *began_at = first;
    }
  }
  return longest;
}

std::pair<std::string, int> Play(Deployment* deployment, bool trouble) {
  for (int i = 0; i < kUsers; ++i) {
    deployment->Submit("req-" + std::to_string(4100 + i), {{"shape", "daemon"}, {"rank", "prod"}},
                       1e6);
    SleepFor(0.05);
  }
  SleepFor(2);
  for (const auto& user : deployment->users) {
    if (!user->accepted()) return {user->uid() + " was not accepted", kCouldNotRun};
  }
  const std::optional<size_t> victim = deployment->Leader();
  if (!victim) return {"no leader", kCouldNotRun};
  deployment->record.Write("DISRUPTION " + std::string(trouble ? "" : "left out: ") + "node " +
                           std::to_string(*victim) + " loses state service and controllers");
  if (trouble) {
    deployment->controllers.to_store(*victim)->Set(Relay::Mode::kReset);
    deployment->controllers.SetPeerLinks(*victim, Relay::Mode::kReset);
  }
  SleepFor(kCutS);
  int forgotten = 0;
  for (const auto& user : deployment->users) {
    double began_at = 0;
    const double silence = LongestSilence(user->polls(), &began_at);
    if (silence < kForgottenS) continue;
    int answered = 0;
    for (const auto& other : deployment->users) {
      if (other == user) continue;
      for (const User::Poll& poll : other->polls()) {
        if (poll.at < began_at || poll.at > began_at + kForgottenS || !IsAnswer(poll)) continue;
        ++answered;
        break;
      }
    }
    if (2 * answered <= kUsers - 1) continue;
    ++forgotten;
    deployment->ledger.Break("forgotten", user->uid() + ": all polls failed for " +
                                              std::to_string(silence) + " s; " +
                                              std::to_string(answered) + " others got answers");
  }
  return {std::to_string(forgotten) + " of " + std::to_string(kUsers) + " jobs forgotten",
          forgotten > 0 ? kBroken : kHeld};
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Site(), Play); }
