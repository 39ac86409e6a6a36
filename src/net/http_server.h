// HTTP server on evhttp. A handler sends its response, immediately or later, through the Responder
// that it receives.
#ifndef ZINCLEAD_NET_HTTP_SERVER_H_
#define ZINCLEAD_NET_HTTP_SERVER_H_

#include <event2/http.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/libevent_handles.h"

namespace zinclead::net {

// Sends the response to one request. If a responder is destroyed before Send is called, the client
// gets status 500. Must be destroyed before the server.
class Responder {
 public:
  // `closes_connection`: the connection is closed after the response.
  explicit Responder(evhttp_request* request, bool closes_connection = false)
      : request_(request), closes_connection_(closes_connection) {}
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  // Sends the response. Later calls have no effect.
  void Send(const Response& response);
  [[nodiscard]] bool has_responded() const { return request_ == nullptr; }

 private:
  evhttp_request* request_;  // null after Send
  const bool closes_connection_;
};
using ResponderPtr = std::shared_ptr<Responder>;

// Not thread-safe: used only on the loop's thread.
class HttpServer {
 public:
  using Handler = std::function<void(ServerRequest, ResponderPtr)>;
  struct Limits {
    // Limit on request bodies, enforced by the handler. Bodies of up to four times this size still
    // reach it, so that it can reject them with a message of its own.
    size_t max_body_bytes = 0;
    // Connections that are kept open between requests. Others are closed after the response.
    size_t max_persistent_connections = 0;
    // Connections that may be waiting for accept().
    int backlog = 128;
    // Connections without traffic for this long are closed. Rounded up to whole seconds.
    double idle_timeout_s = 0;
    EventPriority priority = EventPriority::kNormal;
  };
  // Listens on `host`, an IPv4 address, and `port`; port 0 selects a free port. Throws
  // std::runtime_error if it cannot listen. `loop` must outlive the server. If the handler throws
  // an exception, the client gets status 500.
  HttpServer(EventLoop* loop, const std::string& host, uint16_t port, const Limits& limits,
             Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] uint16_t port() const { return port_; }
  [[nodiscard]] size_t persistent_connections() const { return persistent_connections_.size(); }

 private:
  static void OnRequest(evhttp_request* request, void* server);
  static void OnConnectionClosed(evhttp_connection* connection, void* server);
  static bufferevent* OnConnectionAccepted(event_base* base, void* server);
  void Configure(const Limits& limits);
  void Listen(const std::string& host, uint16_t port, int backlog);
  void PrioritizeNewConnections();
  void Handle(evhttp_request* request);
  // Returns false if the connection must be closed after the response.
  bool TryKeepOpen(evhttp_connection* connection);

  EventLoop* const loop_;
  const size_t max_persistent_connections_;
  const EventPriority priority_;
  const Handler handler_;
  uint16_t port_ = 0;
  evutil_socket_t listening_socket_ = -1;
  std::unordered_set<evhttp_connection*> persistent_connections_;
  // Accepted connections that still have normal priority. Each holds a reference.
  std::vector<bufferevent*> new_connections_;
  // Destroyed before the members above: closing its connections modifies persistent_connections_.
  HttpServerPtr http_;
  EventPtr new_connections_event_;  // runs PrioritizeNewConnections
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_HTTP_SERVER_H_
