// Fake of the cloud, written from PROTOCOL: provisions machines at once and starts a worker on
// each.
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

// Listens on a free loopback port. Belongs to the loop's thread. Its machine list is always empty.
class FakeCloud {
 public:
  // Starts the worker of a new machine, given what its heartbeats say of it.
  using StartWorker = std::function<std::unique_ptr<FakeWorker>(const wire::Heartbeat& identity)>;

  // `loop` must outlive the cloud.
  FakeCloud(net::EventLoop* loop, std::vector<wire::MachineType> types, StartWorker start_worker);

  [[nodiscard]] uint16_t port() const { return server_.port(); }
  // By machine. Destroying a worker ends the machine without a word.
  std::map<std::string, std::unique_ptr<FakeWorker>>& workers() { return workers_; }

 private:
  void OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  [[nodiscard]] wire::Json MachineTypesBody() const;
  wire::Json ScaleOut(const wire::Json& request);
  std::string Provision(const wire::Json& request);
  void Terminate(const wire::Json& request);

  const std::vector<wire::MachineType> types_;
  const StartWorker start_worker_;
  std::map<std::string, wire::Json> machines_by_request_;  // names, by the scale-out request's name
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_;
  int machine_count_ = 0;
  net::HttpServer server_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_CLOUD_H_
