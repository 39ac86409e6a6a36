// HTTP client of the cloud's API: scales out and in, and lists machine types and machines. All
// nodes share the cloud's rate limit, and only the leader calls the cloud. The caller retries
// failed calls.
#ifndef ZINCLEAD_CLOUD_CLOUD_CLIENT_H_
#define ZINCLEAD_CLOUD_CLOUD_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "core/token_bucket.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "rpc/rate_limited_client.h"
#include "wire/wire.h"

namespace zinclead::cloud {

// Outcome of a scale-out request.
enum class ScaleOutResult {
  kProvisioned,  // the machines were provisioned, by this or an earlier copy of the request
  kNoCapacity,   // refused: no machine was provisioned
  kUnknown,  // not sent or no clear response: machines may have been provisioned or may still be
};

// Not thread-safe: used only on the loop's thread. No call runs its `done` before it returns.
class CloudClient {
 public:
  // `loop` must outlive the client.
  CloudClient(net::EventLoop* loop, const config::Settings& settings);

  // Lists the machine types. `done` gets nullopt if there is no valid response.
  using MachineTypesDone = std::function<void(std::optional<std::vector<wire::MachineType>>)>;
  void ListMachineTypes(MachineTypesDone done);

  // Requests machines. Idempotent: the cloud executes a request of the same name only once. With
  // kProvisioned, `machines` holds the ids of the machines.
  using ScaleOutDone = std::function<void(ScaleOutResult, std::vector<std::string> machines)>;
  void ScaleOut(const wire::ScaleOutRequest& request, ScaleOutDone done);

  // Terminates up to wire::kMaxDeleteNames machines, given by id. `terminated` is true if the cloud
  // confirmed the termination: no task runs on them any more. Otherwise the machines may or may not
  // have been terminated.
  using TerminateDone = std::function<void(bool terminated)>;
  void Terminate(const std::vector<std::string>& machines, TerminateDone done);

  // Lists all machines, page by page. `done` gets nullopt if any page got no valid response.
  using MachineListDone = std::function<void(std::optional<std::vector<wire::ListedMachine>>)>;
  void ListMachines(MachineListDone done);

 private:
  void Call(const char* method, std::string path, std::string body, core::Importance importance,
            std::function<void(const net::Response&)> done);
  void OnScaleOutResponse(const net::Response& response, const ScaleOutDone& done);
  // Requests the page of machines that follows the id `after_id`. `listed_machines` holds the
  // machines of the previous pages.
  void ListPage(const std::string& after_id, std::vector<wire::ListedMachine> listed_machines,
                MachineListDone done);
  void OnPage(const net::Response& response, std::vector<wire::ListedMachine> listed_machines,
              MachineListDone done);

  rpc::RateLimitedClient client_;
  const double timeout_s_;
};

}  // namespace zinclead::cloud

#endif  // ZINCLEAD_CLOUD_CLOUD_CLIENT_H_
