// HTTP client on evhttp: a bounded pool of kept-open connections to one address. Every call has a
// timeout for its whole life; calls beyond the pool wait in a bounded queue.
#ifndef ZINCLEAD_NET_HTTP_CLIENT_H_
#define ZINCLEAD_NET_HTTP_CLIENT_H_

#include <event2/http.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_message.h"

namespace zinclead::net {

class HttpClient {
 public:
  using Callback = std::function<void(Response)>;
  HttpClient(EventLoop* loop, std::string host, uint16_t port, size_t max_connections,
             size_t max_queue, size_t max_response,
             EventPriority priority = EventPriority::kNormal);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `done` gets status 0 when no whole answer came within `timeout_s`, which says nothing about
  // whether the request was executed. It is never called from inside Call.
  void Call(const std::string& method, std::string path, std::string body, double timeout_s,
            Callback done);

 private:
  struct Slot;
  struct Pending {
    std::string method;
    std::string path;
    std::string body;
    double deadline = 0;
    Callback done;
  };
  void Start(Slot* slot, Pending call);
  void Finish(Slot* slot, Response response);
  void Next();
  void ExpireQueue();
  static void OnResponse(evhttp_request* request, void* slot);

  EventLoop* loop_;
  std::string host_;
  uint16_t port_;
  size_t max_queue_;
  size_t max_response_;
  EventPriority priority_;
  std::vector<std::unique_ptr<Slot>> slots_;
  std::deque<Pending> queue_;
  EventLoop::Timer queue_timer_;
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_HTTP_CLIENT_H_
