// HTTP server on evhttp. Handlers answer at once or later through the Responder they were given.
#ifndef ZINCLEAD_NET_HTTP_SERVER_H_
#define ZINCLEAD_NET_HTTP_SERVER_H_

#include <event2/http.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "net/event_loop.h"
#include "net/http_message.h"

namespace zinclead::net {

// Answers one request, once; later calls have no effect. If it is dropped without an answer, the
// client gets 500 rather than silence.
class Responder {
 public:
  // `close`: the connection ends with the answer.
  explicit Responder(evhttp_request* request, bool close = false)
      : request_(request), close_(close) {}
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  void Send(const Response& response);
  bool answered() const { return request_ == nullptr; }

 private:
  evhttp_request* request_;
  const bool close_;
};
using ResponderPtr = std::shared_ptr<Responder>;

class HttpServer {
 public:
  using Handler = std::function<void(ServerRequest, ResponderPtr)>;
  struct Limits {
    // Larger bodies still reach the handler up to four times this size, so that it can refuse them
    // in its own words.
    size_t max_body = 0;
    // Connections that are kept open between requests. Each further one ends with its answer.
    size_t max_persistent_connections = 0;
    // Connections that may wait to be accepted.
    int backlog = 128;
    double idle_s = 0;
    EventPriority priority = EventPriority::kNormal;
  };
  HttpServer(EventLoop* loop, const std::string& host, uint16_t port, const Limits& limits,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  uint16_t port() const { return port_; }
  size_t persistent_connections() const { return kept_.size(); }

 private:
  static void OnRequest(evhttp_request* request, void* self);
  bool Keep(evhttp_connection* connection);
  EventLoop* loop_;
  evhttp* http_;
  const size_t max_kept_;
  const EventPriority priority_;
  std::unordered_set<evhttp_connection*> kept_;
  uint16_t port_ = 0;
  Handler handler_;
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_HTTP_SERVER_H_
