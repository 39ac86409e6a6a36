// HTTP server on evhttp. Handlers answer at once or later, through the Responder they are given.
#ifndef ZINCLEAD_NET_HTTP_SERVER_H_
#define ZINCLEAD_NET_HTTP_SERVER_H_

#include <event2/http.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/libevent_handles.h"

namespace zinclead::net {

// Answers one request, once; later calls have no effect. If it is destroyed without an answer, the
// client gets status 500. It must be destroyed before the server.
class Responder {
 public:
  // `close_connection`: the connection ends with the response.
  explicit Responder(evhttp_request* request, bool close_connection = false)
      : request_(request), close_connection_(close_connection) {}
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void Send(const Response& response);
  [[nodiscard]] bool answered() const { return request_ == nullptr; }

 private:
  evhttp_request* request_;  // null once answered
  const bool close_connection_;
};
using ResponderPtr = std::shared_ptr<Responder>;

// Belongs to the loop's thread.
class HttpServer {
 public:
  using Handler = std::function<void(ServerRequest, ResponderPtr)>;
  struct Limits {
    // Larger bodies still reach the handler up to four times this size, so that it can refuse them
    // with a message of its own.
    size_t max_body_bytes = 0;
    // Connections that are kept open between requests. Each further one ends with its response.
    size_t max_persistent_connections = 0;
    // Connections that may wait to be accepted.
    int backlog = 128;
    // Connections without traffic for this long are closed; whole seconds, rounded up.
    double idle_timeout_s = 0;
    EventPriority priority = EventPriority::kNormal;
  };
  // Listens on an IPv4 address, port 0 for any that is free. Throws std::runtime_error if it can't.
  // `loop` must outlive the server. An exception that leaves the handler becomes a status 500.
  HttpServer(EventLoop* loop, const std::string& host, uint16_t port, const Limits& limits,
             Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] uint16_t port() const { return port_; }
  [[nodiscard]] size_t persistent_connections() const { return persistent_.size(); }

 private:
  static void OnRequest(evhttp_request* request, void* server);
  static void OnConnectionClosed(evhttp_connection* connection, void* server);
  void Configure(const Limits& limits);
  void Listen(const std::string& host, uint16_t port, int backlog);
  void Handle(evhttp_request* request);
  // Returns false if the connection must end with its response.
  bool KeepOpen(evhttp_connection* connection);

  EventLoop* const loop_;
  const size_t max_persistent_connections_;
  const EventPriority priority_;
  const Handler handler_;
  uint16_t port_ = 0;
  std::unordered_set<evhttp_connection*> persistent_;
  HttpServerPtr http_;  // destroyed first: closing its connections changes persistent_
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_HTTP_SERVER_H_
