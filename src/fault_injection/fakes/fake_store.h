// Fake of the consensus-backed key-value store that follows PROTOCOL: keys with versions,
// compare-and-swap, leases and watches. Tests can inject faults into compare-and-swap requests.
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
  // A stored key.
  struct Entry {
    wire::Json value;
    uint64_t version = 0;
    uint64_t lease = 0;  // 0: none
  };
  // How the store treats a compare-and-swap request.
  enum class InjectedFault {
    kNormal,                      // executed, with a response
    kExecutedWithoutResponse,     // executed, but the response is lost
    kNotExecutedWithoutResponse,  // not executed, without a response; a test may execute it later
    kMalformed,                   // refused with 400
    kRefused,                     // refused with 503
    kTooManyRequests,             // refused with 429
  };
  // Called with the body of each compare-and-swap request.
  using FaultInjector = std::function<InjectedFault(const wire::Json& request)>;

  // `loop` must outlive the store.
  explicit FakeStore(net::EventLoop* loop);

  [[nodiscard]] uint16_t port() const { return server_.port(); }
  // By key. Changes through this reference neither increment the revision nor notify watches.
  std::map<std::string, Entry>& entries() { return entries_; }
  [[nodiscard]] const std::map<std::string, Entry>& entries() const { return entries_; }
  // Compare-and-swap requests that were processed, with any result, including calls of
  // CompareAndSwap().
  [[nodiscard]] uint64_t compare_and_swap_count() const { return compare_and_swap_count_; }
  // Sets the function that chooses the fault of each request; empty: no faults.
  void InjectFaults(FaultInjector injector) { fault_injector_ = std::move(injector); }

  struct Response {
    int status = 0;
    wire::Json body;
  };
  // Processes the body of a compare-and-swap request without fault injection.
  Response CompareAndSwap(const wire::Json& request);

 private:
  struct Lease {
    double ttl_s = 0;
    std::unique_ptr<net::EventLoop::Timer> timer;
  };

  void OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  void OnCompareAndSwap(const net::ServerRequest& request, const net::ResponderPtr& responder);
  void OnWatch(const net::ServerRequest& request, const net::ResponderPtr& responder);
  [[nodiscard]] Response Get(const std::string& key) const;
  [[nodiscard]] Response List(const std::string& query) const;
  Response GrantLease(const std::string& body);
  Response RenewOrRevokeLease(const std::string& method, uint64_t id);

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
  std::vector<net::ResponderPtr> unanswered_responders_;  // kept, so that their clients time out
  uint64_t revision_ = 0;
  uint64_t last_lease_ = 0;
  uint64_t compare_and_swap_count_ = 0;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_STORE_H_
