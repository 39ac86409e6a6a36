// Stand-in of the state service: keys with versions, transactions, leases and watches.
#ifndef ZINCLEAD_REVIEW_STANDINS_STATE_SERVICE_H_
#define ZINCLEAD_REVIEW_STANDINS_STATE_SERVICE_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "wire/json.h"

namespace zinclead::review {

// Listens on a free loopback port. `loop` must outlive it.
class StateService {
 public:
  explicit StateService(net::EventLoop* loop);
  [[nodiscard]] uint16_t port() const { return server_.port(); }

  // The keys that contain `text`, with their values.
  [[nodiscard]] std::map<std::string, wire::Json> Find(const std::string& text) const;
  // Stores a key that an earlier controller wrote.
  void Restore(const std::string& key, const wire::Json& value);

 private:
  struct Entry {
    wire::Json value;
    uint64_t stamp = 0;
    uint64_t tenure = 0;  // 0: attached to no lease
  };
  struct Lease {
    double life_s = 0;
    net::EventLoop::Timer timer;
  };
  struct Watch {
    std::string prefix;
    uint64_t from = 0;
    net::ResponderPtr responder;
    net::EventLoop::Timer timer;
  };
  struct Change {
    uint64_t stamp = 0;
    std::string key;
    wire::Json event;
  };

  void OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  net::Response Get(const std::string& key) const;
  net::Response List(const std::map<std::string, std::string>& query) const;
  net::Response Commit(const std::string& body);
  net::Response Grant(const std::string& body);
  net::Response TouchOrDelete(const std::string& method, const std::string& rest);
  void StartWatch(const std::map<std::string, std::string>& query,
                  const net::ResponderPtr& responder);
  wire::Json EventsAfter(const std::string& prefix, uint64_t from) const;
  void StartLeaseTimer(uint64_t tenure);
  void EndLease(uint64_t tenure);
  void Put(const std::string& key, Entry entry);
  void Delete(const std::string& key);
  void AnswerWatches();

  net::EventLoop* const loop_;
  net::HttpServer server_;  // outlives the responders below
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  std::list<Watch> watches_;
  std::list<Change> changes_;
  uint64_t ledger_ = 0;
  uint64_t last_tenure_ = 0;
};

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_STATE_SERVICE_H_
