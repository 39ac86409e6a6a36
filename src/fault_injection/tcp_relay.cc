#include "fault_injection/tcp_relay.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

#include "fault_injection/loopback.h"

namespace zinclead::fault_injection {
TcpRelay::TcpRelay(net::EventLoop* loop, uint16_t target_port)
    : loop_(loop), target_port_(target_port) {
  sockaddr_in address = LoopbackAddress(0);
  const evconnlistener_cb on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int,
                                         void* relay) {
    static_cast<TcpRelay*>(relay)->Accept(socket);
  };
  listener_.reset(evconnlistener_new_bind(loop->base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
                                          reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  if (listener_ == nullptr) throw std::runtime_error("no free loopback port for a relay");
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
}

TcpRelay::~TcpRelay() = default;

void TcpRelay::Accept(evutil_socket_t socket) {
  auto owned = std::make_unique<Connection>();
  Connection* const connection = owned.get();
  connection->relay = this;
  evutil_make_socket_nonblocking(socket);
  connection->client.reset(bufferevent_socket_new(loop_->base(), socket, BEV_OPT_CLOSE_ON_FREE));
  connection->server.reset(bufferevent_socket_new(loop_->base(), -1, BEV_OPT_CLOSE_ON_FREE));
  connections_.insert(std::move(owned));
  for (bufferevent* side : {connection->client.get(), connection->server.get()}) {
    bufferevent_setcb(side, &TcpRelay::OnReadable, &TcpRelay::OnWritten, &TcpRelay::OnEvent,
                      connection);
    bufferevent_enable(side, EV_READ | EV_WRITE);
  }
  sockaddr_in address = LoopbackAddress(target_port_);
  if (bufferevent_socket_connect(connection->server.get(), reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    Close(connection);
  }
}

void TcpRelay::PassOn(bufferevent* from, bufferevent* to) {
  bufferevent_write_buffer(to, bufferevent_get_input(from));
}

void TcpRelay::OnReadable(bufferevent* from, void* connection) {
  auto* self = static_cast<Connection*>(connection);
  if (self->relay->is_held_) return;
  PassOn(from, from == self->client.get() ? self->server.get() : self->client.get());
}

void TcpRelay::OnWritten(bufferevent* to, void* connection) {
  auto* self = static_cast<Connection*>(connection);
  const bool is_drained = evbuffer_get_length(bufferevent_get_output(to)) == 0;
  if (self->is_closing && is_drained && !self->relay->is_held_) self->relay->Close(self);
}

void TcpRelay::OnEvent(bufferevent* side, int16_t events, void* connection) {
  auto* self = static_cast<Connection*>(connection);
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) return;
  bufferevent_disable(side, EV_READ);
  self->is_closing = true;
  if (self->relay->is_held_) return;  // the rest is passed on when the hold ends
  bufferevent* const other = side == self->client.get() ? self->server.get() : self->client.get();
  PassOn(side, other);
  const bool is_failed = (events & BEV_EVENT_ERROR) != 0;
  if (is_failed || evbuffer_get_length(bufferevent_get_output(other)) == 0) {
    self->relay->Close(self);
  }
}

void TcpRelay::SetHeld(bool is_held) {
  if (std::exchange(is_held_, is_held) == is_held || is_held) return;
  std::vector<Connection*> drained;
  for (const auto& connection : connections_) {
    PassOn(connection->client.get(), connection->server.get());
    PassOn(connection->server.get(), connection->client.get());
    const size_t unsent = evbuffer_get_length(bufferevent_get_output(connection->client.get())) +
                          evbuffer_get_length(bufferevent_get_output(connection->server.get()));
    if (connection->is_closing && unsent == 0) drained.push_back(connection.get());
  }
  for (Connection* connection : drained) Close(connection);
}

void TcpRelay::Close(Connection* connection) {
  std::erase_if(connections_,
                [connection](const auto& owned) { return owned.get() == connection; });
}

}  // namespace zinclead::fault_injection
