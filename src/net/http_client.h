// HTTP client on evhttp: a bounded pool of persistent connections to one address. Every call has a
// timeout for its whole life; calls beyond the pool wait in a bounded queue.
#ifndef ZINCLEAD_NET_HTTP_CLIENT_H_
#define ZINCLEAD_NET_HTTP_CLIENT_H_

#include <event2/http.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_message.h"

namespace zinclead::net {

// Belongs to the loop's thread.
class HttpClient {
 public:
  using Callback = std::function<void(Response)>;
  // `host` is an IPv4 address. Calls beyond `max_connections` and `max_queue` fail at once, and
  // responses whose body exceeds `max_response` bytes count as none. `loop` must outlive the
  // client.
  HttpClient(EventLoop* loop, std::string host, uint16_t port, size_t max_connections,
             size_t max_queue, size_t max_response,
             EventPriority priority = EventPriority::kNormal);
  // Calls that are not answered yet are dropped: their callbacks are never called.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `method` is GET, POST or DELETE. `done` gets status 0 when no complete response arrived within
  // `timeout_s`, which says nothing about whether the request was executed. It is never called from
  // inside Call.
  void Call(const std::string& method, std::string path, std::string body, double timeout_s,
            Callback done);

 private:
  struct Connection;
  struct PendingCall {
    std::string method;
    std::string path;
    std::string body;
    double deadline = 0;  // on the steady clock
    Callback done;
  };
  static void OnResponse(evhttp_request* request, void* connection);
  void Start(Connection* connection, PendingCall call);
  void Open(Connection* connection);
  evhttp_request* CreateRequest(Connection* connection, const std::string& body) const;
  void OnTimeout(Connection* connection);
  void Finish(Connection* connection, Response response);
  void StartQueuedCalls();
  void ExpireQueuedCalls();

  EventLoop* const loop_;
  const std::string host_;
  const uint16_t port_;
  const size_t max_queue_;
  const size_t max_response_;
  const EventPriority priority_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::deque<PendingCall> queue_;
  EventLoop::Timer queue_timer_;
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_HTTP_CLIENT_H_
