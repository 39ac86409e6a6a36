#include "raw_connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

#include "fault_injection/loopback.h"

namespace zinclead::testing {
namespace {

using fault_injection::LoopbackAddress;

constexpr int kBacklog = 128;

}  // namespace

RawConnection::RawConnection(uint16_t port) {
  const int candidate = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(port);
  if (connect(candidate, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    socket_ = candidate;
  } else {
    close(candidate);
  }
}

RawConnection::~RawConnection() { End(ConnectionEnd::kClose); }

bool RawConnection::Send(std::string_view data) const {
  while (!data.empty()) {
    const ssize_t sent = send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    data.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

std::string RawConnection::Receive(size_t max_bytes, double timeout_s) const {
  pollfd readable{socket_, POLLIN, 0};
  if (poll(&readable, 1, static_cast<int>(timeout_s * 1000)) <= 0) return "";
  std::string data(max_bytes, '\0');
  const ssize_t received = recv(socket_, data.data(), data.size(), 0);
  data.resize(received > 0 ? static_cast<size_t>(received) : 0);
  return data;
}

void RawConnection::End(ConnectionEnd end) {
  const int ended = std::exchange(socket_, -1);
  if (ended < 0) return;
  if (end == ConnectionEnd::kHalfCloseAndReset) shutdown(ended, SHUT_WR);
  if (end != ConnectionEnd::kClose) {
    const linger reset{1, 0};
    setsockopt(ended, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  close(ended);
}

RawListener::RawListener() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  if (bind(socket_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(socket_, kBacklog) != 0 ||
      getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot listen on loopback");
  }
  port_ = ntohs(address.sin_port);
}

RawListener::~RawListener() { close(socket_); }

std::unique_ptr<RawConnection> RawListener::Accept() const {
  const int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted < 0) return nullptr;
  std::unique_ptr<RawConnection> connection(new RawConnection());
  connection->socket_ = accepted;
  return connection;
}

void RawListener::Stop() const { shutdown(socket_, SHUT_RDWR); }

std::string RequestText(std::string_view method, std::string_view path, std::string_view body) {
  return std::string(method) + " " + std::string(path) +
         " HTTP/1.1\r\nHost: loopback\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + std::string(body);
}

}  // namespace zinclead::testing
