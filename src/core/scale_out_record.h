// Scale-out requests and their machines, and the calls to make to the cloud.
#ifndef ZINCLEAD_CORE_SCALE_OUT_RECORD_H_
#define ZINCLEAD_CORE_SCALE_OUT_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/machine_offer.h"
#include "wire/wire.h"

namespace zinclead::core {

// The progress of a scale-out request.
enum class ScaleOutPhase : uint8_t {
  kQueued,     // decided; its name must be durable before it is sent
  kDurable,    // may be sent
  kSent,       // the call is in flight
  kCompleted,  // the response has arrived; the machines are known
};

// One scale-out request and its machines, or one adopted machine (see
// MachineRegistry::AdoptMachine). Times are seconds on the steady clock.
struct ScaleOutRecord {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
  ScaleOutPhase phase = ScaleOutPhase::kQueued;
  bool adopted = false;
  double retry_at = 0;                   // not sent before this time
  double requested_at = 0;               // the stored record holds the time of day
  std::map<std::string, bool> machines;  // id -> dispatchable (a task may be on it)

  MachineOffer Offer() const { return {type, zone, spot}; }
  bool IsCompleted() const { return phase == ScaleOutPhase::kCompleted; }
  void OnStored() {
    if (phase == ScaleOutPhase::kQueued) phase = ScaleOutPhase::kDurable;
  }
  void OnSendFailed() {
    if (phase == ScaleOutPhase::kSent) phase = ScaleOutPhase::kDurable;
  }
};

// The cloud's response to a scale-out request. kUnknown: there was none, so the request may have
// been carried out, or may still be.
enum class ScaleOutOutcome { kProvisioned, kNoCapacity, kUnknown };

// The calls that the service must make to the cloud.
struct CloudActions {
  std::vector<wire::ScaleOutRequest> scale_out;
  std::vector<std::string> scale_in;  // machines to terminate
  bool empty() const { return scale_out.empty() && scale_in.empty(); }
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCALE_OUT_RECORD_H_
