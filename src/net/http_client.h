// HTTP client on evhttp: a bounded pool of persistent connections to one address. Calls that find
// no free connection wait in a bounded queue. Each call has a timeout, which includes that wait.
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

// Not thread-safe: used only on the loop's thread.
class HttpClient {
 public:
  using Callback = std::function<void(Response)>;
  // `host` is an IPv4 address. A call fails immediately while the client is full: all
  // `max_connections` connections are in use and `max_queued_calls` calls are waiting. A response
  // whose body exceeds `max_response_bytes` is reported as status 0. `loop` must outlive the
  // client.
  HttpClient(EventLoop* loop, std::string host, uint16_t port, size_t max_connections,
             size_t max_queued_calls, size_t max_response_bytes,
             EventPriority priority = EventPriority::kNormal);
  // Drops the calls that have no response yet: their callbacks are never called.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request. `method` is GET, POST or DELETE. `done` gets status 0 if no complete response
  // arrives within `timeout_s` seconds: the request may or may not have been executed. `done` is
  // never called from inside Call.
  void Call(const std::string& method, std::string path, std::string body, double timeout_s,
            Callback done);

  // Whether a call would fail now without being sent.
  [[nodiscard]] bool IsFull() const;

 private:
  struct Connection;
  struct PendingCall {
    std::string method;
    std::string path;
    std::string body;
    double deadline_at = 0;  // seconds on the steady clock
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
  const size_t max_queued_calls_;
  const size_t max_response_bytes_;
  const EventPriority priority_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::deque<PendingCall> queue_;
  EventLoop::Timer queue_timer_;
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_HTTP_CLIENT_H_
