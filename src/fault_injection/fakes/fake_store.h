// Fake of the consensus-backed key-value store, written from PROTOCOL: keys with versions,
// compare-and-swap, leases and watches, with faults that a test injects.
#ifndef ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_STORE_H_
#define ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "wire/wire.h"

namespace zinclead::fault_injection {

// Listens on a free loopback port. Belongs to the loop's thread.
class FakeStore {
 public:
  struct Entry {
    wire::Json value;
    uint64_t version = 0;
    uint64_t lease = 0;  // 0: none
  };
  // What becomes of a compare-and-swap request.
  enum class InjectedFault {
    kNormal,                   // executed and answered
    kExecutedWithoutResponse,  // executed, but the response is lost
    kLost,                     // neither executed nor answered; a test may execute it later
    kMalformed,                // refused with 400
    kRefused,                  // refused with 503
    kTooMany,                  // refused with 429
  };
  // Decides for each request, given its body.
  using FaultInjector = std::function<InjectedFault(const wire::Json& request)>;

  // `loop` must outlive the store.
  explicit FakeStore(net::EventLoop* loop);

  [[nodiscard]] uint16_t port() const { return server_.port(); }
  std::map<std::string, Entry>& entries() { return entries_; }
  // Requests that were executed or failed a precondition, those through CompareAndSwap included.
  [[nodiscard]] uint64_t compare_and_swap_count() const { return compare_and_swap_count_; }
  void InjectFaults(FaultInjector injector) { fault_injector_ = std::move(injector); }

  struct Answer {
    int status = 0;
    wire::Json body;
  };
  // Executes a request in the format of PROTOCOL, as if it had arrived now.
  Answer CompareAndSwap(const wire::Json& request);

 private:
  struct Lease {
    double ttl_s = 0;
    std::unique_ptr<net::EventLoop::Timer> timer;
  };

  void OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  void OnCompareAndSwap(const net::ServerRequest& request, const net::ResponderPtr& responder);
  void OnWatch(const net::ServerRequest& request, const net::ResponderPtr& responder);
  [[nodiscard]] Answer Get(const std::string& key) const;
  [[nodiscard]] Answer List(const std::string& query) const;
  Answer GrantLease(const std::string& body);
  Answer RenewOrRevokeLease(const std::string& method, uint64_t id);

  [[nodiscard]] uint64_t VersionOf(const std::string& key) const;
  void Apply(const wire::Json& write);
  void StartLeaseTimer(uint64_t id);
  void EndLease(uint64_t id);
  void NotifyWatches();

  net::EventLoop* const loop_;
  net::HttpServer server_;  // outlives the responders below
  FaultInjector fault_injector_;
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  std::vector<net::ResponderPtr> watches_;
  std::vector<net::ResponderPtr> unanswered_;  // kept, so that their clients time out
  uint64_t revision_ = 0;
  uint64_t last_lease_ = 0;
  uint64_t compare_and_swap_count_ = 0;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_STORE_H_
