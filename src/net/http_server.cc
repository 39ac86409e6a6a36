#include "net/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <cmath>
#include <stdexcept>
#include <utility>

namespace zinclead::net {
namespace {

constexpr int kEvhttpListenBacklog = 128;  // set by evhttp itself
constexpr int kInternalServerError = 500;
constexpr int kErrorRetryAfterS = 1;

const char* MethodName(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Other";
  }
}

// Writes the response without polling the socket first, as the socket is nearly always writable.
// Without this each heartbeat costs four calls of epoll_ctl and one more of epoll_wait.
void WriteWithoutPolling(evhttp_connection* connection) {
  event_active(&evhttp_connection_get_bufferevent(connection)->ev_write, EV_WRITE, 0);
}

Response InternalErrorResponse(const char* body) {
  return {kInternalServerError, kErrorRetryAfterS, body};
}

std::string TextOrEmpty(const char* text) { return text == nullptr ? "" : text; }

ServerRequest ReadRequest(evhttp_request* request) {
  ServerRequest received;
  received.method = MethodName(evhttp_request_get_command(request));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  if (uri != nullptr) {
    received.path = TextOrEmpty(evhttp_uri_get_path(uri));
    received.query = TextOrEmpty(evhttp_uri_get_query(uri));
  }
  evbuffer* input = evhttp_request_get_input_buffer(request);
  received.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, received.body.data(), received.body.size());
  return received;
}

uint16_t BoundPort(evutil_socket_t socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  return ntohs(address.sin_port);
}

// libevent offers no direct access to the event of a listener.
void SetListenerPriority(event_base* base, evutil_socket_t socket, EventPriority priority) {
  struct Target {
    evutil_socket_t socket;
    EventPriority priority;
  } target{socket, priority};
  event_base_foreach_event(
      base,
      [](const event_base*, const event* candidate, void* argument) {
        const auto* wanted = static_cast<const Target*>(argument);
        if (event_get_fd(candidate) != wanted->socket) return 0;
        event_priority_set(const_cast<event*>(candidate), static_cast<int>(wanted->priority));
        return 1;
      },
      &target);
}

// While there is no free descriptor, the listener stays ready. With high priority it would then
// keep the loop from serving and closing the connections that hold the descriptors.
void OnAcceptError(evconnlistener* listener, void* /*http*/) {
  SetListenerPriority(evconnlistener_get_base(listener), evconnlistener_get_fd(listener),
                      EventPriority::kNormal);
}

}  // namespace

Responder::~Responder() {
  if (request_ != nullptr) Send(InternalErrorResponse("{\"error\":\"no answer\"}"));
}

void Responder::Send(const Response& response) {
  if (request_ == nullptr) return;
  evhttp_request* request = std::exchange(request_, nullptr);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/json");
  if (closes_connection_) evhttp_add_header(headers, "Connection", "close");
  if (response.retry_after_s > 0) {
    evhttp_add_header(headers, "Retry-After", std::to_string(response.retry_after_s).c_str());
  }
  const BufferPtr body(evbuffer_new());
  evbuffer_add(body.get(), response.body.data(), response.body.size());
  evhttp_connection* connection = evhttp_request_get_connection(request);
  // evhttp frees the request here if the connection was closed before the response was sent.
  evhttp_send_reply(request, response.status, ReasonPhrase(response.status), body.get());
  if (connection != nullptr) WriteWithoutPolling(connection);
}

HttpServer::HttpServer(EventLoop* loop, const std::string& host, uint16_t port,
                       const Limits& limits, Handler handler)
    : loop_(loop),
      max_persistent_connections_(limits.max_persistent_connections),
      priority_(limits.priority),
      handler_(std::move(handler)),
      http_(evhttp_new(loop->base())) {
  if (http_ == nullptr) throw std::runtime_error("cannot create an HTTP server");
  Configure(limits);
  Listen(host, port, limits.backlog);
}

void HttpServer::Configure(const Limits& limits) {
  evhttp* http = http_.get();
  evhttp_set_max_body_size(http, static_cast<ev_ssize_t>(4 * limits.max_body_bytes));
  evhttp_set_max_headers_size(http, static_cast<ev_ssize_t>(limits.max_body_bytes / 4));
  evhttp_set_timeout(http, static_cast<int>(std::ceil(limits.idle_timeout_s)));
  // Allows all methods, so that the handler sends the response to unsupported ones.
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                       EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                       EVHTTP_REQ_PATCH);
  evhttp_set_gencb(http, &HttpServer::OnRequest, this);
  if (priority_ != EventPriority::kHigh) return;
  // NOLINTNEXTLINE(google-runtime-int)
  const event_callback_fn prioritize = [](evutil_socket_t, short, void* server) {
    static_cast<HttpServer*>(server)->PrioritizeNewConnections();
  };
  new_connections_event_.reset(event_new(loop_->base(), -1, EV_PERSIST, prioritize, this));
  event_priority_set(new_connections_event_.get(), static_cast<int>(priority_));
  evhttp_set_bevcb(http, &HttpServer::OnConnectionAccepted, this);
}

// evhttp gives the connection normal priority after this call. The event runs before the loop polls
// the connection, as the priority of an event can't be changed once it is active.
bufferevent* HttpServer::OnConnectionAccepted(event_base* base, void* server) {
  auto* self = static_cast<HttpServer*>(server);
  bufferevent* connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (connection == nullptr) return nullptr;
  bufferevent_incref(connection);
  self->new_connections_.push_back(connection);
  event_active(self->new_connections_event_.get(), EV_TIMEOUT, 0);
  SetListenerPriority(base, self->listening_socket_, self->priority_);
  return connection;
}

void HttpServer::PrioritizeNewConnections() {
  for (bufferevent* connection : std::exchange(new_connections_, {})) {
    bufferevent_priority_set(connection, static_cast<int>(priority_));
    bufferevent_decref(connection);
  }
}

void HttpServer::Listen(const std::string& host, uint16_t port, int backlog) {
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(http_.get(), host.c_str(), port);
  if (bound == nullptr) {
    throw std::runtime_error("cannot listen on " + host + ":" + std::to_string(port));
  }
  const evutil_socket_t socket = evhttp_bound_socket_get_fd(bound);
  // After a failover more workers connect at once than evhttp's own backlog holds.
  if (backlog > kEvhttpListenBacklog && listen(socket, backlog) != 0) {
    spdlog::error(
        "http server: cannot set the listen backlog; using the default: backlog={} port={}",
        backlog, port);
  }
  if (priority_ == EventPriority::kHigh) {
    listening_socket_ = socket;
    SetListenerPriority(loop_->base(), socket, priority_);
    evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(bound), OnAcceptError);
  }
  port_ = BoundPort(socket);
}

// Limits the number of persistent connections; others are closed after one request. Otherwise
// workers and users could use up the node's sockets, and the node could not reach the key-value
// store.
bool HttpServer::TryKeepOpen(evhttp_connection* connection) {
  if (persistent_connections_.contains(connection)) return true;
  if (persistent_connections_.size() >= max_persistent_connections_) return false;
  persistent_connections_.insert(connection);
  bufferevent_priority_set(evhttp_connection_get_bufferevent(connection),
                           static_cast<int>(priority_));
  evhttp_connection_set_closecb(connection, &HttpServer::OnConnectionClosed, this);
  return true;
}

void HttpServer::OnConnectionClosed(evhttp_connection* connection, void* server) {
  static_cast<HttpServer*>(server)->persistent_connections_.erase(connection);
}

void HttpServer::OnRequest(evhttp_request* request, void* server) {
  static_cast<HttpServer*>(server)->Handle(request);
}

void HttpServer::Handle(evhttp_request* request) {
  ServerRequest received = ReadRequest(request);
  if (priority_ == EventPriority::kNormal) loop_->CountServedRequest();
  const bool is_persistent = TryKeepOpen(evhttp_request_get_connection(request));
  const auto responder = std::make_shared<Responder>(request, !is_persistent);
  try {
    handler_(std::move(received), responder);
  } catch (const std::exception& e) {
    spdlog::error("http server: request handler failed; responding with status 500: reason=\"{}\"",
                  e.what());
    responder->Send(InternalErrorResponse("{\"error\":\"internal error\"}"));
  }
}

}  // namespace zinclead::net
