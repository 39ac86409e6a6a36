// A relay of TCP connections to a loopback port, which can hold back all data: an interruption of
// the network between two hosts.
#ifndef ZINCLEAD_FAULT_INJECTION_TCP_RELAY_H_
#define ZINCLEAD_FAULT_INJECTION_TCP_RELAY_H_

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <cstdint>
#include <memory>
#include <set>

#include "net/event_loop.h"

namespace zinclead::fault_injection {

// Belongs to the loop's thread.
class TcpRelay {
 public:
  // Listens on a free loopback port. Throws std::runtime_error if there is none. `loop` must
  // outlive the relay.
  TcpRelay(net::EventLoop* loop, uint16_t target_port);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  [[nodiscard]] uint16_t port() const { return port_; }
  // While data is held, nothing is passed on in either direction. Data sent meanwhile, also over
  // connections that the sender has closed, is passed on in order when the hold ends.
  void SetHeld(bool is_held);

 private:
  struct BuffereventDeleter {
    void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
  };
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventDeleter>;
  // The two sides of one connection.
  struct Connection {
    TcpRelay* relay = nullptr;
    BuffereventPtr client;
    BuffereventPtr server;
    bool is_closing = false;  // one side has ended: close when the rest is written
  };

  static void OnReadable(bufferevent* from, void* connection);
  static void OnWritten(bufferevent* to, void* connection);
  static void OnEvent(bufferevent* side, int16_t events, void* connection);
  void Accept(evutil_socket_t socket);
  void Close(Connection* connection);
  static void PassOn(bufferevent* from, bufferevent* to);

  net::EventLoop* const loop_;
  const uint16_t target_port_;
  uint16_t port_ = 0;
  bool is_held_ = false;
  std::set<std::unique_ptr<Connection>> connections_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_TCP_RELAY_H_
