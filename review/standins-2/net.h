// Blocking HTTP over loopback for the stand-ins: a server with one thread a connection, a client,
// and a relay of TCP connections that can hold, reset or pass on.
#ifndef REVIEW_STANDINS_2_NET_H_
#define REVIEW_STANDINS_2_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standins {

// Seconds on the steady clock since the start of the program.
double Now();
void SleepFor(double seconds);

struct Request {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
};
struct Reply {
  int status = 0;
  std::string body;
  int retry_after_s = 0;
  size_t longest_line = 0;  // of the body, as received
};

// Listens on a free loopback port from its construction on; runs until the program ends.
class HttpServer {
 public:
  // Without a reply the connection stays open and silent.
  using Handler = std::function<std::optional<Reply>(const Request&)>;
  explicit HttpServer(Handler handler);
  uint16_t port() const { return port_; }

 private:
  void Serve(int fd);
  Handler handler_;
  int listener_ = -1;
  uint16_t port_ = 0;
};

// One connection, opened when needed. One thread at a time, except Reset.
class HttpClient {
 public:
  explicit HttpClient(uint16_t port) : port_(port) {}
  ~HttpClient() { Close(); }
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  // Opens the connection. False: refused, or not accepted within `timeout_s`.
  bool Connect(double timeout_s);
  bool is_open() const { return fd_ >= 0; }
  // No value: no connection, no complete response in time, or the connection was reset.
  std::optional<Reply> Call(const std::string& method, const std::string& path,
                            const std::string& body, double timeout_s);
  // Makes the call under way fail, and closes the connection. From any thread.
  void Reset();
  void Close();

 private:
  const uint16_t port_;
  std::mutex mutex_;  // guards fd_ against Reset
  int fd_ = -1;
};

// Relays TCP connections to a loopback port.
class Relay {
 public:
  enum class Mode {
    kPass,
    kHold,   // passes on nothing; open connections deliver what they hold when the mode is kPass
             // again
    kReset,  // resets open connections and every new one
  };
  explicit Relay(uint16_t target);
  uint16_t port() const { return port_; }
  void Set(Mode mode) { mode_ = mode; }

 private:
  void Run(int client);
  const uint16_t target_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<Mode> mode_{Mode::kPass};
};

// `count` different loopback ports that are free now, below the range of ports for connections.
std::vector<uint16_t> FreePorts(size_t count);

}  // namespace standins

#endif  // REVIEW_STANDINS_2_NET_H_
