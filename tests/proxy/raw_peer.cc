#include "raw_peer.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <utility>

namespace damasktack {

namespace {

constexpr timeval kReadTimeout{10, 0};
constexpr int kHangUpTimeoutMs = 10'000;
constexpr int kAcceptPollMs = 20;
constexpr std::string_view kEndOfHead = "\r\n\r\n";

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int Bind(std::uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// Returns the size of the body that follows `head`; npos if it is chunked.
std::size_t BodySize(std::string_view head) {
  constexpr std::string_view kLength = "Content-Length: ";
  if (head.find("chunked") != std::string_view::npos) {
    return std::string_view::npos;
  }
  const std::size_t at = head.find(kLength);
  if (at == std::string_view::npos) {
    return 0;
  }
  return std::strtoul(head.data() + at + kLength.size(), nullptr, 10);
}

}  // namespace

RawConnection::RawConnection(int fd) : fd_(fd) {
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &kReadTimeout, sizeof(kReadTimeout));
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

RawConnection::RawConnection(RawConnection&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), buf_(std::move(other.buf_)) {}

RawConnection::~RawConnection() {
  Close();
}

RawConnection RawConnection::To(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  return RawConnection(fd);
}

bool RawConnection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool RawConnection::ReadMore() {
  std::array<char, 16384> chunk{};
  const ssize_t n = recv(fd_, chunk.data(), chunk.size(), 0);
  if (n <= 0) {
    return false;
  }
  buf_.append(chunk.data(), static_cast<std::size_t>(n));
  return true;
}

std::string RawConnection::ReadHead() {
  std::size_t end = std::string::npos;
  while ((end = buf_.find(kEndOfHead)) == std::string::npos) {
    if (!ReadMore()) {
      return "";
    }
  }
  return buf_.substr(0, end + kEndOfHead.size());
}

std::string RawConnection::ReadMessage() {
  std::size_t size = ReadHead().size();
  if (size == 0) {
    return std::exchange(buf_, {});
  }
  const std::size_t end = size - kEndOfHead.size();
  const std::size_t body = BodySize(std::string_view(buf_).substr(0, size));
  if (body == std::string::npos) {
    constexpr std::string_view kLastChunk = "0\r\n\r\n";
    std::size_t last = std::string::npos;
    while ((last = buf_.find(kLastChunk, end)) == std::string::npos) {
      if (!ReadMore()) {
        return std::exchange(buf_, {});
      }
    }
    size = last + kLastChunk.size();
  } else {
    size += body;
  }
  while (buf_.size() < size && ReadMore()) {
  }
  std::string message = buf_.substr(0, size);
  buf_.erase(0, size);
  return message;
}

std::string RawConnection::ReadToEnd() {
  while (ReadMore()) {
  }
  return std::exchange(buf_, {});
}

bool RawConnection::WaitForHangUp() {
  pollfd state{fd_, POLLRDHUP, 0};
  return poll(&state, 1, kHangUpTimeoutMs) > 0;
}

void RawConnection::FinishSending() {
  shutdown(fd_, SHUT_WR);
}

void RawConnection::Close() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

void RawConnection::Reset() {
  const linger reset_on_close{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  Close();
}

void RawConnection::DropIncoming() {
  sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
  const sock_fprog program{1, &drop};
  setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

RawEndpoint::RawEndpoint(Script script) : script_(std::move(script)) {
  fd_ = Bind(port_);
  listen(fd_, SOMAXCONN);
  acceptor_ = std::thread([this] { Accept(); });
}

RawEndpoint::~RawEndpoint() {
  stopping_ = true;
  acceptor_.join();
  close(fd_);
  for (std::thread& it : threads_) {
    it.join();
  }
}

void RawEndpoint::Accept() {
  while (!stopping_) {
    pollfd waiting{fd_, POLLIN, 0};
    if (poll(&waiting, 1, kAcceptPollMs) <= 0) {
      continue;
    }
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    ++connections_;
    threads_.emplace_back([this, fd] {
      RawConnection connection(fd);
      script_(connection);
    });
  }
}

std::string OkAnswer(std::string_view body, std::string_view headers) {
  return "HTTP/1.1 200 OK\r\n" + std::string(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::uint16_t ClosedPort() {
  std::uint16_t port = 0;
  close(Bind(port));
  return port;
}

}  // namespace damasktack
