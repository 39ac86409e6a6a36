// Owning pointers to libevent objects.
#ifndef ZINCLEAD_NET_LIBEVENT_HANDLES_H_
#define ZINCLEAD_NET_LIBEVENT_HANDLES_H_

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <memory>

namespace zinclead::net {

// Deleter that calls the libevent function `kFree`.
template <auto kFree>
struct LibeventDeleter {
  template <typename Object>
  void operator()(Object* object) const {
    kFree(object);
  }
};

using EventBasePtr = std::unique_ptr<event_base, LibeventDeleter<event_base_free>>;
using EventConfigPtr = std::unique_ptr<event_config, LibeventDeleter<event_config_free>>;
using EventPtr = std::unique_ptr<event, LibeventDeleter<event_free>>;
using BufferPtr = std::unique_ptr<evbuffer, LibeventDeleter<evbuffer_free>>;
using HttpServerPtr = std::unique_ptr<evhttp, LibeventDeleter<evhttp_free>>;
using HttpConnectionPtr =
    std::unique_ptr<evhttp_connection, LibeventDeleter<evhttp_connection_free>>;

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_LIBEVENT_HANDLES_H_
