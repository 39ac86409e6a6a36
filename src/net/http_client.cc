#include "net/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <charconv>
#include <cstring>
#include <utility>

namespace zinclead::net {

struct HttpClient::Slot {
  HttpClient* client = nullptr;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;  // not null: busy
  Callback done;
  EventLoop::Timer timer;
  EventLoop::Timer failure;
  bool busy = false;
};

HttpClient::HttpClient(EventLoop* loop, std::string host, uint16_t port, size_t max_connections,
                       size_t max_queue, size_t max_response, EventPriority priority)
    : loop_(loop),
      host_(std::move(host)),
      port_(port),
      max_queue_(max_queue),
      max_response_(max_response),
      priority_(priority) {
  for (size_t i = 0; i < max_connections; ++i) {
    slots_.push_back(std::make_unique<Slot>());
    slots_.back()->client = this;
  }
}

HttpClient::~HttpClient() {
  for (auto& slot : slots_) {
    if (slot->request != nullptr) evhttp_cancel_request(slot->request);
    if (slot->connection != nullptr) evhttp_connection_free(slot->connection);
  }
}

void HttpClient::Call(const std::string& method, std::string path, std::string body,
                      double timeout_s, Callback done) {
  Pending call{method, std::move(path), std::move(body), SteadyNow() + timeout_s, std::move(done)};
  for (auto& slot : slots_) {
    if (!slot->busy) return Start(slot.get(), std::move(call));
  }
  if (queue_.size() >= max_queue_) {
    loop_->Post([done = std::move(call.done)] { done(Response{}); });
    return;
  }
  queue_.push_back(std::move(call));
  if (!queue_timer_.pending()) ExpireQueue();
}

void HttpClient::Start(Slot* slot, Pending call) {
  slot->busy = true;
  slot->done = std::move(call.done);
  const double left = call.deadline - SteadyNow();
  if (slot->connection == nullptr) {
    slot->connection = evhttp_connection_base_bufferevent_new(loop_->base(), nullptr, nullptr,
                                                              host_.c_str(), port_);
    // Addresses are IPv4 numbers; without this libevent probes the interfaces over UDP first.
    evhttp_connection_set_family(slot->connection, AF_INET);
    evhttp_connection_set_max_body_size(slot->connection, static_cast<ev_ssize_t>(max_response_));
  }
  // The timer below bounds the whole call; the connection's own time-out only backs it up.
  const timeval backup = ToTimeval(2 * (left > 0 ? left : 1));
  evhttp_connection_set_timeout_tv(slot->connection, &backup);
  slot->request = evhttp_request_new(&HttpClient::OnResponse, slot);
  evkeyvalq* headers = evhttp_request_get_output_headers(slot->request);
  evhttp_add_header(headers, "Host", host_.c_str());
  if (!call.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(slot->request), call.body.data(),
                 call.body.size());
  }
  evhttp_cmd_type type = EVHTTP_REQ_GET;
  if (call.method == "POST") type = EVHTTP_REQ_POST;
  if (call.method == "DELETE") type = EVHTTP_REQ_DELETE;
  const auto expire = [this, slot] {
    evhttp_request* request = std::exchange(slot->request, nullptr);
    if (request != nullptr) evhttp_cancel_request(request);
    // A connection whose answer did not come may still deliver it: never use it again.
    if (slot->connection != nullptr) {
      evhttp_connection_free(std::exchange(slot->connection, nullptr));
    }
    Finish(slot, Response{});
  };
  loop_->StartTimer(&slot->timer, left, expire, priority_);
  if (evhttp_make_request(slot->connection, slot->request, type, call.path.c_str()) != 0) {
    // evhttp has freed the request. The caller must not hear of it before Call returns.
    slot->request = nullptr;
    loop_->StartTimer(&slot->timer, 0, [this, slot] { Finish(slot, Response{}); });
    return;
  }
  // Connecting anew has set it back.
  bufferevent_priority_set(evhttp_connection_get_bufferevent(slot->connection),
                           static_cast<int>(priority_));
}

void HttpClient::OnResponse(evhttp_request* request, void* arg) {
  auto* slot = static_cast<Slot*>(arg);
  if (slot->request == nullptr) return;  // cancelled
  slot->request = nullptr;
  Response response;
  if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
    response.status = evhttp_request_get_response_code(request);
    evbuffer* input = evhttp_request_get_input_buffer(request);
    response.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, response.body.data(), response.body.size());
    const char* retry =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Retry-After");
    if (retry != nullptr) {
      std::from_chars(retry, retry + std::strlen(retry), response.retry_after_s);
    }
  }
  slot->client->Finish(slot, std::move(response));
}

void HttpClient::Finish(Slot* slot, Response response) {
  slot->timer.Cancel();
  const Callback done = std::move(slot->done);
  slot->done = nullptr;
  slot->busy = false;
  // The connection is still inside evhttp's own callback: the next call starts from the loop.
  if (!queue_.empty()) loop_->Post([this] { Next(); });
  if (done) done(std::move(response));
}

void HttpClient::Next() {
  for (auto& slot : slots_) {
    if (queue_.empty()) return;
    if (slot->busy) continue;
    Pending call = std::move(queue_.front());
    queue_.pop_front();
    Start(slot.get(), std::move(call));
  }
}

void HttpClient::ExpireQueue() {
  const double now = SteadyNow();
  std::deque<Pending> kept;
  std::vector<Callback> expired;
  for (Pending& call : queue_) {
    if (call.deadline <= now) {
      expired.push_back(std::move(call.done));
    } else {
      kept.push_back(std::move(call));
    }
  }
  queue_ = std::move(kept);
  double next = 0;
  for (const Pending& call : queue_) {
    if (next == 0 || call.deadline < next) next = call.deadline;
  }
  if (!queue_.empty()) {
    loop_->StartTimer(&queue_timer_, next - now, [this] { ExpireQueue(); });
  }
  for (const Callback& done : expired) done(Response{});
}

}  // namespace zinclead::net
