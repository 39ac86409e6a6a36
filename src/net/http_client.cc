#include "net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

#include "net/libevent_handles.h"

namespace zinclead::net {
namespace {

evhttp_cmd_type ParseMethod(const std::string& name) {
  if (name == "POST") return EVHTTP_REQ_POST;
  if (name == "DELETE") return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

Response ReadResponse(evhttp_request* request) {
  Response response;
  response.status = evhttp_request_get_response_code(request);
  evbuffer* input = evhttp_request_get_input_buffer(request);
  response.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, response.body.data(), response.body.size());
  const char* retry_after =
      evhttp_find_header(evhttp_request_get_input_headers(request), "Retry-After");
  if (retry_after != nullptr) {
    std::from_chars(retry_after, retry_after + std::strlen(retry_after), response.retry_after_s);
  }
  return response;
}

}  // namespace

// A connection of the pool and the call that uses it, if any.
struct HttpClient::Connection {
  HttpClient* client = nullptr;
  HttpConnectionPtr evhttp;
  evhttp_request* request = nullptr;  // owned by evhttp; null if no response is pending
  Callback done;
  EventLoop::Timer timer;
  bool is_busy = false;
};

HttpClient::HttpClient(EventLoop* loop, std::string host, uint16_t port, size_t max_connections,
                       size_t max_queued_calls, size_t max_response_bytes, EventPriority priority)
    : loop_(loop),
      host_(std::move(host)),
      port_(port),
      max_queued_calls_(max_queued_calls),
      max_response_bytes_(max_response_bytes),
      priority_(priority) {
  for (size_t i = 0; i < max_connections; ++i) {
    connections_.push_back(std::make_unique<Connection>());
    connections_.back()->client = this;
  }
}

HttpClient::~HttpClient() {
  for (auto& connection : connections_) {
    if (connection->request != nullptr) evhttp_cancel_request(connection->request);
    connection->evhttp.reset();
  }
}

bool HttpClient::IsFull() const {
  return queue_.size() >= max_queued_calls_ &&
         std::all_of(connections_.begin(), connections_.end(),
                     [](const auto& connection) { return connection->is_busy; });
}

void HttpClient::Call(const std::string& method, std::string path, std::string body,
                      double timeout_s, Callback done) {
  PendingCall call{method, std::move(path), std::move(body), SteadyNow() + timeout_s,
                   std::move(done)};
  for (auto& connection : connections_) {
    if (!connection->is_busy) return Start(connection.get(), std::move(call));
  }
  if (queue_.size() >= max_queued_calls_) {
    loop_->Post([done = std::move(call.done)] { done(Response{}); });
    return;
  }
  queue_.push_back(std::move(call));
  if (!queue_timer_.pending()) ExpireQueuedCalls();
}

void HttpClient::Open(Connection* connection) {
  connection->evhttp.reset(evhttp_connection_base_bufferevent_new(loop_->base(), nullptr, nullptr,
                                                                  host_.c_str(), port_));
  // `host` is an IPv4 address. Without a family libevent first probes the interfaces over UDP.
  evhttp_connection_set_family(connection->evhttp.get(), AF_INET);
  evhttp_connection_set_max_body_size(connection->evhttp.get(),
                                      static_cast<ev_ssize_t>(max_response_bytes_));
}

evhttp_request* HttpClient::CreateRequest(Connection* connection, const std::string& body) const {
  evhttp_request* request = evhttp_request_new(&HttpClient::OnResponse, connection);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", host_.c_str());
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  }
  return request;
}

void HttpClient::Start(Connection* connection, PendingCall call) {
  connection->is_busy = true;
  connection->done = std::move(call.done);
  const double remaining_s = call.deadline_at - SteadyNow();
  if (connection->evhttp == nullptr) Open(connection);
  evhttp_connection* evhttp = connection->evhttp.get();
  // The timer below limits the whole call. The connection's own timeout is only a fallback.
  const timeval fallback_timeout = ToTimeval(2 * (remaining_s > 0 ? remaining_s : 1));
  evhttp_connection_set_timeout_tv(evhttp, &fallback_timeout);
  connection->request = CreateRequest(connection, call.body);
  loop_->StartTimer(
      &connection->timer, remaining_s, [this, connection] { OnTimeout(connection); }, priority_);
  if (evhttp_make_request(evhttp, connection->request, ParseMethod(call.method),
                          call.path.c_str()) != 0) {
    // evhttp has freed the request. The callback must not be called before Call returns.
    connection->request = nullptr;
    loop_->StartTimer(&connection->timer, 0,
                      [this, connection] { Finish(connection, Response{}); });
    return;
  }
  // evhttp resets the priority whenever it opens a connection.
  bufferevent_priority_set(evhttp_connection_get_bufferevent(evhttp), static_cast<int>(priority_));
}

void HttpClient::OnTimeout(Connection* connection) {
  evhttp_request* request = std::exchange(connection->request, nullptr);
  if (request != nullptr) evhttp_cancel_request(request);
  // Closes the connection: a late response could otherwise be taken for the next call's response.
  connection->evhttp.reset();
  Finish(connection, Response{});
}

void HttpClient::OnResponse(evhttp_request* request, void* connection) {
  auto* self = static_cast<Connection*>(connection);
  if (self->request == nullptr) return;  // cancelled
  self->request = nullptr;
  const bool is_complete = request != nullptr && evhttp_request_get_response_code(request) != 0;
  self->client->Finish(self, is_complete ? ReadResponse(request) : Response{});
}

void HttpClient::Finish(Connection* connection, Response response) {
  connection->timer.Cancel();
  const Callback done = std::exchange(connection->done, nullptr);
  connection->is_busy = false;
  // evhttp may still be running the connection's callback, so the next call starts from the loop.
  if (!queue_.empty()) loop_->Post([this] { StartQueuedCalls(); });
  if (done) done(std::move(response));
}

void HttpClient::StartQueuedCalls() {
  for (auto& connection : connections_) {
    if (queue_.empty()) return;
    if (connection->is_busy) continue;
    PendingCall call = std::move(queue_.front());
    queue_.pop_front();
    Start(connection.get(), std::move(call));
  }
}

// Fails the queued calls whose deadline has passed, and sets the timer for the next deadline.
void HttpClient::ExpireQueuedCalls() {
  const double now = SteadyNow();
  std::vector<Callback> expired;
  const auto first_expired =
      std::stable_partition(queue_.begin(), queue_.end(),
                            [now](const PendingCall& call) { return call.deadline_at > now; });
  for (auto it = first_expired; it != queue_.end(); ++it) expired.push_back(std::move(it->done));
  queue_.erase(first_expired, queue_.end());
  if (!queue_.empty()) {
    const auto next = std::min_element(
        queue_.begin(), queue_.end(),
        [](const PendingCall& a, const PendingCall& b) { return a.deadline_at < b.deadline_at; });
    loop_->StartTimer(&queue_timer_, next->deadline_at - now, [this] { ExpireQueuedCalls(); });
  }
  for (const Callback& done : expired) done(Response{});
}

}  // namespace zinclead::net
