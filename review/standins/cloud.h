// Stand-in of the cloud: rents machines while it has some, and starts their workers.
#ifndef ZINCLEAD_REVIEW_STANDINS_CLOUD_H_
#define ZINCLEAD_REVIEW_STANDINS_CLOUD_H_

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "standins/worker.h"
#include "wire/json.h"

namespace zinclead::review {

// Listens on a free loopback port. `loop` and `world` must outlive it.
class Cloud {
 public:
  // `flavors`: the machine types, as GET /flavors lists them. A rented machine is up after
  // `boot_s`.
  Cloud(net::EventLoop* loop, WorkerWorld* world, wire::Json flavors, double boot_s);

  [[nodiscard]] uint16_t port() const { return server_.port(); }
  // How many machines of this type and zone can be rented at the same time.
  void SetCapacity(const std::string& type, const std::string& zone, bool spot, int count) {
    capacity_[{type, zone, spot}] = count;
  }
  // The workers of the machines that are up.
  [[nodiscard]] std::vector<Worker*> Workers() const;

 private:
  struct Host {
    MachineFacts facts;
    double rented_at = 0;
    net::EventLoop::Timer boot;
    std::unique_ptr<Worker> worker;
  };
  using Offer = std::tuple<std::string, std::string, bool>;

  void OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  net::Response Rent(const std::string& body);
  net::Response Delete(const std::string& body);
  [[nodiscard]] net::Response List(const std::string& query) const;
  [[nodiscard]] int Available(const Offer& offer) const;

  net::EventLoop* const loop_;
  WorkerWorld* const world_;
  const wire::Json flavors_;
  const double boot_s_;
  std::map<Offer, int> capacity_;
  std::map<std::string, wire::Json> answers_;  // by name of the request
  std::map<std::string, Host> hosts_;
  int last_host_ = 230;
  net::HttpServer server_;
};

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_CLOUD_H_
