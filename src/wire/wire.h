// All formats that zinclead speaks with users, workers, cloud and state service. No I/O: clients
// can use this package alone. The names on the wire stand in field_names.h and labels.h; the
// structures use ordinary terms.
#ifndef ZINCLEAD_WIRE_WIRE_H_
#define ZINCLEAD_WIRE_WIRE_H_

#include "wire/cloud_api.h"    // IWYU pragma: export
#include "wire/json.h"         // IWYU pragma: export
#include "wire/parse_error.h"  // IWYU pragma: export
#include "wire/store_api.h"    // IWYU pragma: export
#include "wire/user_api.h"     // IWYU pragma: export
#include "wire/worker_api.h"   // IWYU pragma: export

#endif  // ZINCLEAD_WIRE_WIRE_H_
