// HTTP client of the cloud: scales out and in, and lists what there is. The nodes share the cloud's
// rate limit, and only the leader calls it. Retries are the callers' business.
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

enum class ScaleOutResult {
  kProvisioned,  // the machines were provisioned, now or by an earlier copy of the request
  kNoCapacity,   // refused: nothing was provisioned
  kUnknown,      // no usable answer: machines may have been provisioned, or may still be
};

// Belongs to the loop's thread. Callbacks are never called from inside the call they belong to.
class CloudClient {
 public:
  // `loop` must outlive the client.
  CloudClient(net::EventLoop* loop, const config::Settings& settings);

  // nullopt: no usable answer.
  using MachineTypesDone = std::function<void(std::optional<std::vector<wire::MachineType>>)>;
  void ListMachineTypes(MachineTypesDone done);

  // Requests machines. A request may be repeated: the cloud executes each name once. With
  // kProvisioned `machines` are their names.
  using ScaleOutDone = std::function<void(ScaleOutResult, std::vector<std::string> machines)>;
  void ScaleOut(const wire::ScaleOutRequest& request, ScaleOutDone done);

  // Terminates up to wire::kMaxDeleteNames machines. `terminated`: the cloud has confirmed it, so
  // nothing runs on them any more; otherwise they may or may not have been terminated.
  using TerminateDone = std::function<void(bool terminated)>;
  void Terminate(const std::vector<std::string>& machines, TerminateDone done);

  // Lists all machines, page by page. nullopt: some page got no usable answer.
  using MachineListDone = std::function<void(std::optional<std::vector<wire::ListedMachine>>)>;
  void ListMachines(MachineListDone done);

 private:
  void Call(const char* method, std::string path, std::string body, core::Importance importance,
            std::function<void(const net::Response&)> done);
  void OnScaleOutAnswered(const net::Response& response, const ScaleOutDone& done);
  // `listed`: the machines of the pages up to `after`.
  void ListPage(const std::string& after, std::vector<wire::ListedMachine> listed,
                MachineListDone done);
  void OnPage(const net::Response& response, std::vector<wire::ListedMachine> listed,
              MachineListDone done);

  rpc::RateLimitedClient client_;
  const double timeout_s_;
};

}  // namespace zinclead::cloud

#endif  // ZINCLEAD_CLOUD_CLOUD_CLIENT_H_
