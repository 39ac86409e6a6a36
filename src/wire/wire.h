// Includes the message formats of the APIs with users, workers, the cloud and the state service.
// Without I/O, so that clients can use this package alone. The names on the wire are defined in
// field_names.h and labels.h.
#ifndef ZINCLEAD_WIRE_WIRE_H_
#define ZINCLEAD_WIRE_WIRE_H_

#include "wire/cloud_api.h"    // IWYU pragma: export
#include "wire/json.h"         // IWYU pragma: export
#include "wire/parse_error.h"  // IWYU pragma: export
#include "wire/store_api.h"    // IWYU pragma: export
#include "wire/user_api.h"     // IWYU pragma: export
#include "wire/worker_api.h"   // IWYU pragma: export

#endif  // ZINCLEAD_WIRE_WIRE_H_
