#include "net/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_struct.h>
#include <event2/keyvalq_struct.h>
#include <spdlog/spdlog.h>
#include <sys/socket.h>

#include <cmath>
#include <stdexcept>
#include <utility>

namespace zinclead::net {
namespace {

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

const char* Reason(int status) {
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

// The socket of an answered request nearly always takes the answer at once. Without this the loop
// first asks the kernel whether it does, and each report costs four calls of epoll_ctl and one more
// of epoll_wait.
void WriteNow(evhttp_connection* connection) {
  event_active(&evhttp_connection_get_bufferevent(connection)->ev_write, EV_WRITE, 0);
}

}  // namespace

Responder::~Responder() {
  if (request_ != nullptr) Send({500, 1, "{\"error\":\"no answer\"}"});
}

void Responder::Send(const Response& response) {
  if (request_ == nullptr) return;
  evhttp_request* request = std::exchange(request_, nullptr);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/json");
  if (close_) evhttp_add_header(headers, "Connection", "close");
  if (response.retry_after_s > 0) {
    evhttp_add_header(headers, "Retry-After", std::to_string(response.retry_after_s).c_str());
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, response.body.data(), response.body.size());
  evhttp_connection* connection = evhttp_request_get_connection(request);
  // evhttp frees the request here if its connection has closed in the meantime.
  evhttp_send_reply(request, response.status, Reason(response.status), body);
  evbuffer_free(body);
  if (connection != nullptr) WriteNow(connection);
}

HttpServer::HttpServer(EventLoop* loop, const std::string& host, uint16_t port,
                       const Limits& limits, Handler handler)
    : loop_(loop),
      http_(evhttp_new(loop->base())),
      max_kept_(limits.max_persistent_connections),
      priority_(limits.priority),
      handler_(std::move(handler)) {
  if (http_ == nullptr) throw std::runtime_error("cannot create an HTTP server");
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(4 * limits.max_body));
  evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(limits.max_body / 4));
  evhttp_set_timeout(http_, static_cast<int>(std::ceil(limits.idle_s)));
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                        EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                        EVHTTP_REQ_PATCH);
  evhttp_set_gencb(http_, &HttpServer::OnRequest, this);
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(http_, host.c_str(), port);
  if (socket == nullptr) {
    evhttp_free(http_);
    throw std::runtime_error("cannot listen on " + host + ":" + std::to_string(port));
  }
  const evutil_socket_t fd = evhttp_bound_socket_get_fd(socket);
  // evhttp lets 128 connections wait, far fewer than the workers that come at once to a new leader.
  if (limits.backlog > 128 && listen(fd, limits.backlog) != 0) {
    spdlog::error("cannot let {} connections wait on port {}", limits.backlog, port);
  }
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    port_ = ntohs(address.sin_port);
  }
}

HttpServer::~HttpServer() { evhttp_free(http_); }

// More workers and users may come than the node may have sockets. If they took them all, the node
// could not even reach the state service any more; so beyond the limit a connection lives for one
// request only.
bool HttpServer::Keep(evhttp_connection* connection) {
  if (kept_.contains(connection)) return true;
  if (kept_.size() >= max_kept_) return false;
  kept_.insert(connection);
  bufferevent_priority_set(evhttp_connection_get_bufferevent(connection),
                           static_cast<int>(priority_));
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* self) {
        static_cast<HttpServer*>(self)->kept_.erase(closed);
      },
      this);
  return true;
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  ServerRequest parsed;
  parsed.method = MethodName(evhttp_request_get_command(request));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  parsed.path = path == nullptr ? "" : path;
  const char* query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  parsed.query = query == nullptr ? "" : query;
  evbuffer* input = evhttp_request_get_input_buffer(request);
  parsed.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, parsed.body.data(), parsed.body.size());
  if (server->priority_ == EventPriority::kNormal) server->loop_->CountServedRequest();
  const bool keep = server->Keep(evhttp_request_get_connection(request));
  auto responder = std::make_shared<Responder>(request, !keep);
  try {
    server->handler_(std::move(parsed), responder);
  } catch (const std::exception& e) {
    spdlog::error("request handler failed: {}", e.what());
    responder->Send({500, 1, "{\"error\":\"internal error\"}"});
  }
}

}  // namespace zinclead::net
