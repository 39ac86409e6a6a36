// A TCP connection to a port on loopback whose requests and end the test controls, unlike those of
// an HTTP client.
#ifndef ZINCLEAD_TESTS_RAW_CONNECTION_H_
#define ZINCLEAD_TESTS_RAW_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace zinclead::testing {

// How a client gives up.
enum class ConnectionEnd {
  kClose,              // FIN
  kReset,              // RST
  kHalfCloseAndReset,  // FIN, then RST
};

// Not thread-safe. All calls block.
class RawConnection {
 public:
  // Connects to `port`. Check connected() before use.
  explicit RawConnection(uint16_t port);
  // Closes the connection unless End() was called.
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  [[nodiscard]] bool connected() const { return socket_ >= 0; }
  // Returns whether all of `data` was sent; false if the other end closed the connection.
  bool Send(std::string_view data) const;
  // Waits for data or the end of the connection, at most `timeout_s` seconds. Returns up to
  // `max_bytes` of what arrived, or nothing.
  [[nodiscard]] std::string Receive(size_t max_bytes, double timeout_s) const;
  void End(ConnectionEnd end);

 private:
  friend class RawListener;
  RawConnection() = default;
  int socket_ = -1;  // -1: not connected
};

// Listens on a free port on loopback.
class RawListener {
 public:
  RawListener();
  ~RawListener();
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;

  [[nodiscard]] uint16_t port() const { return port_; }
  // Waits for a connection. Returns null after Stop().
  [[nodiscard]] std::unique_ptr<RawConnection> Accept() const;
  // Makes Accept return. May be called from another thread.
  void Stop() const;

 private:
  const int socket_;
  uint16_t port_ = 0;
};

// An HTTP request with a body.
[[nodiscard]] std::string RequestText(std::string_view method, std::string_view path,
                                      std::string_view body = "");

}  // namespace zinclead::testing

#endif  // ZINCLEAD_TESTS_RAW_CONNECTION_H_
