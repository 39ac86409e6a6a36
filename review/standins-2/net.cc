#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <vector>

namespace standins {
namespace {

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Listen(uint16_t port, uint16_t* bound) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *bound = ntohs(address.sin_port);
  return fd;
}

void NoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Closes the connection with a reset.
void CloseWithReset(int fd) {
  const linger reset{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(fd);
}

int ConnectTo(uint16_t port, double timeout_s) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    pollfd waiting{fd, POLLOUT, 0};
    int error = errno;
    socklen_t size = sizeof(error);
    if (error == EINPROGRESS && poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) == 1) {
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
      close(fd);
      return -1;
    }
  }
  NoDelay(fd);
  return fd;
}

bool SendAll(int fd, const std::string& data, double deadline) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<size_t>(n);
      continue;
    }
    if (n < 0 && errno != EAGAIN && errno != EINTR) return false;
    const double left = deadline - Now();
    if (left <= 0) return false;
    pollfd waiting{fd, POLLOUT, 0};
    poll(&waiting, 1, static_cast<int>(left * 1000) + 1);
  }
  return true;
}

// Appends what arrives to `buffer`. False at the end, after an error or at the deadline.
bool ReceiveSome(int fd, std::string* buffer, double deadline) {
  char chunk[65536];
  while (true) {
    const ssize_t n = recv(fd, chunk, sizeof(chunk), MSG_DONTWAIT);
    if (n > 0) {
      buffer->append(chunk, static_cast<size_t>(n));
      return true;
    }
    if (n == 0 || (errno != EAGAIN && errno != EINTR)) return false;
    const double left = deadline - Now();
    if (left <= 0) return false;
    pollfd waiting{fd, POLLIN, 0};
    poll(&waiting, 1, static_cast<int>(left * 1000) + 1);
  }
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

// Reads one message; what follows it stays in `buffer`.
bool ReadMessage(int fd, std::string* buffer, Message* message, double deadline) {
  size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!ReceiveSome(fd, buffer, deadline)) return false;
  }
  size_t line = buffer->find("\r\n");
  message->first_line = buffer->substr(0, line);
  message->headers.clear();
  while (line < end) {
    const size_t begin = line + 2;
    line = buffer->find("\r\n", begin);
    const std::string header = buffer->substr(begin, line - begin);
    const size_t colon = header.find(':');
    if (colon == std::string::npos) continue;
    std::string name = header.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const size_t value = header.find_first_not_of(' ', colon + 1);
    message->headers[name] = value == std::string::npos ? "" : header.substr(value);
  }
  const auto length = message->headers.find("content-length");
  const size_t size =
      length == message->headers.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, 10);
  while (buffer->size() < end + 4 + size) {
    if (!ReceiveSome(fd, buffer, deadline)) return false;
  }
  message->body = buffer->substr(end + 4, size);
  buffer->erase(0, end + 4 + size);
  return true;
}

bool SaysClose(const Message& message) {
  const auto it = message.headers.find("connection");
  return it != message.headers.end() && it->second == "close";
}

size_t LongestLine(const std::string& text) {
  size_t longest = 0;
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    longest = std::max(longest, end - begin);
    begin = end + 1;
  }
  return longest;
}

constexpr double kForever = 1e6;

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}

void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = Listen(0, &port_);
  if (listener_ < 0) throw std::runtime_error("no free port");
  std::thread([this] {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      NoDelay(fd);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }).detach();
}

void HttpServer::Serve(int fd) {
  std::string buffer;
  Message message;
  while (ReadMessage(fd, &buffer, &message, kForever)) {
    Request request;
    const size_t first = message.first_line.find(' ');
    const size_t second = message.first_line.find(' ', first + 1);
    request.method = message.first_line.substr(0, first);
    const std::string target = message.first_line.substr(first + 1, second - first - 1);
    const size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) request.query = target.substr(mark + 1);
    request.body = message.body;
    const std::optional<Reply> reply = handler_(request);
    if (!reply) {
      std::string rest;
      while (ReceiveSome(fd, &rest, kForever)) rest.clear();
      break;
    }
    const std::string text = "HTTP/1.1 " + std::to_string(reply->status) +
                             " X\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
    if (!SendAll(fd, text, Now() + 10) || SaysClose(message)) break;
  }
  close(fd);
}

bool HttpClient::Connect(double timeout_s) {
  Close();
  const int fd = ConnectTo(port_, timeout_s);
  const std::scoped_lock lock(mutex_);
  fd_ = fd;
  return fd >= 0;
}

std::optional<Reply> HttpClient::Call(const std::string& method, const std::string& path,
                                      const std::string& body, double timeout_s) {
  const double deadline = Now() + timeout_s;
  if (!is_open() && !Connect(timeout_s)) return std::nullopt;
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  if (method != "GET") {
    text +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  std::string buffer;
  Message message;
  if (!SendAll(fd_, text, deadline) || !ReadMessage(fd_, &buffer, &message, deadline)) {
    Close();
    return std::nullopt;
  }
  Reply reply;
  reply.status = std::atoi(message.first_line.c_str() + message.first_line.find(' ') + 1);
  reply.body = message.body;
  reply.longest_line = LongestLine(message.body);
  if (const auto it = message.headers.find("retry-after"); it != message.headers.end()) {
    reply.retry_after_s = std::atoi(it->second.c_str());
  }
  if (SaysClose(message)) Close();
  return reply;
}

void HttpClient::Reset() {
  const std::scoped_lock lock(mutex_);
  if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
}

void HttpClient::Close() {
  const std::scoped_lock lock(mutex_);
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

Relay::Relay(uint16_t target) : target_(target) {
  listener_ = Listen(0, &port_);
  if (listener_ < 0) throw std::runtime_error("no free port");
  std::thread([this] {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      NoDelay(fd);
      std::thread([this, fd] { Run(fd); }).detach();
    }
  }).detach();
}

void Relay::Run(int client) {
  if (mode_ == Mode::kReset) return CloseWithReset(client);
  if (mode_ == Mode::kHold) {
    // A connection attempt that is given up does not complete later.
    while (mode_ == Mode::kHold) SleepFor(0.02);
    return CloseWithReset(client);
  }
  const int server = ConnectTo(target_, 1);
  if (server < 0) return CloseWithReset(client);
  const int from[2] = {client, server};
  const int to[2] = {server, client};
  bool open[2] = {true, true};
  while (open[0] || open[1]) {
    if (mode_ == Mode::kReset) {
      CloseWithReset(client);
      CloseWithReset(server);
      return;
    }
    if (mode_ == Mode::kHold) {
      SleepFor(0.005);
      continue;
    }
    pollfd fds[2] = {{open[0] ? client : -1, POLLIN, 0}, {open[1] ? server : -1, POLLIN, 0}};
    poll(fds, 2, 20);
    if (mode_ != Mode::kPass) continue;
    for (int i = 0; i < 2; ++i) {
      if (!open[i] || fds[i].revents == 0) continue;
      char chunk[65536];
      const ssize_t n = recv(from[i], chunk, sizeof(chunk), MSG_DONTWAIT);
      if (n > 0) {
        if (SendAll(to[i], std::string(chunk, static_cast<size_t>(n)), Now() + 5)) continue;
      } else if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        continue;
      }
      open[i] = false;
      shutdown(to[i], SHUT_WR);
      // HTTP here never uses half-closed connections.
      open[1 - i] = open[1 - i] && i == 0;
    }
  }
  close(client);
  close(server);
}

std::vector<uint16_t> FreePorts(size_t count) {
  constexpr int kFirst = 10'000;
  constexpr int kCount = 20'000;
  const int offset = static_cast<int>(getpid()) * 97 % kCount;
  std::vector<int> probes;
  std::vector<uint16_t> ports;
  for (int i = 0; i < kCount && ports.size() < count; ++i) {
    uint16_t port = 0;
    const int fd = Listen(static_cast<uint16_t>(kFirst + (offset + i) % kCount), &port);
    if (fd < 0) continue;
    probes.push_back(fd);
    ports.push_back(port);
  }
  for (const int fd : probes) close(fd);
  if (ports.size() < count) throw std::runtime_error("no free port");
  return ports;
}

}  // namespace standins
