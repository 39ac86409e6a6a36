// Scale-out requests, the machines they brought, and the calls that the core asks the cloud for.
#ifndef ZINCLEAD_CORE_SCALE_OUT_RECORD_H_
#define ZINCLEAD_CORE_SCALE_OUT_RECORD_H_

#include <map>
#include <string>
#include <vector>

#include "wire/wire.h"

namespace zinclead::core {

inline std::string OfferKey(const std::string& type, const std::string& zone, bool spot) {
  return type + "|" + zone + (spot ? "|spot" : "|ordinary");
}

// One rent request and the machines it brought (or one adopted machine).
struct ScaleOutRecord {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
  bool answered = false;
  bool adopted = false;
  bool stored = false;  // named durably: the request may be sent
  bool sending = false;
  double retry_at = 0;
  double requested_at = 0;  // on this node's steady clock; the record holds the time of day
  std::map<std::string, bool> machines;  // name -> may hold tasks
};

// kUnknown: no answer; the request may have been carried out, or may still be.
enum class ScaleOutOutcome { kProvisioned, kNoCapacity, kUnknown };

// What the service must do for the core.
struct CloudActions {
  std::vector<wire::ScaleOutRequest> scale_out;
  std::vector<std::string> scale_in;  // machines to delete
  bool empty() const { return scale_out.empty() && scale_in.empty(); }
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCALE_OUT_RECORD_H_
