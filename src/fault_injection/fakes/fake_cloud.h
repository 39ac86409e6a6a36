// Fake of the cloud that follows PROTOCOL: provisions machines without a delay and starts a worker
// on each.
#ifndef ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_CLOUD_H_
#define ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_CLOUD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fault_injection/fakes/fake_worker.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "wire/wire.h"

namespace zinclead::fault_injection {

// Listens on a free loopback port. Belongs to the loop's thread. The machine list that it returns
// is always empty.
class FakeCloud {
 public:
  // Starts the worker of a new machine. `identity` holds the fields that are equal in all
  // its heartbeats.
  using StartWorker = std::function<std::unique_ptr<FakeWorker>(const wire::Heartbeat& identity)>;

  // Offers the machine types `types`. `loop` must outlive the cloud.
  FakeCloud(net::EventLoop* loop, std::vector<wire::MachineType> types, StartWorker start_worker);

  [[nodiscard]] uint16_t port() const { return server_.port(); }
  // By machine id. Erasing a worker makes the machine fail without notice to the controllers.
  std::map<std::string, std::unique_ptr<FakeWorker>>& workers() { return workers_; }

 private:
  void OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  [[nodiscard]] wire::Json MachineTypesBody() const;
  wire::Json ScaleOut(const wire::Json& request);
  std::string Provision(const wire::Json& request);
  void Terminate(const wire::Json& request);

  const std::vector<wire::MachineType> types_;
  const StartWorker start_worker_;
  // Names of the machines, by name of the scale-out request.
  std::map<std::string, wire::Json> machines_by_request_;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_;
  int machine_count_ = 0;
  net::HttpServer server_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_CLOUD_H_
