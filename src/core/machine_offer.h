// Identifies an offer of the cloud for scale-out: a machine type in a zone, spot or on demand.
#ifndef ZINCLEAD_CORE_MACHINE_OFFER_H_
#define ZINCLEAD_CORE_MACHINE_OFFER_H_

#include <compare>
#include <string>

namespace zinclead::core {

// One kind of machine that can be requested. Equal values identify the same offer.
struct MachineOffer {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const MachineOffer&) const = default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_OFFER_H_
