#include "tests/crowd/crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "tests/crowd/crowd_host.h"

namespace damasktack {

namespace {

constexpr int kPollMs = 100;

int ConnectTo(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  return fd;
}

}  // namespace

std::string_view CrowdMessage::From(std::size_t offset) const {
  if (offset < head.size()) {
    return std::string_view(head).substr(offset);
  }
  offset -= head.size();
  const std::size_t middle = part->size() * repeats;
  if (offset < middle) {
    return std::string_view(*part).substr(offset % part->size());
  }
  return std::string_view(end).substr(std::min(offset - middle, end.size()));
}

Crowd::Crowd(Plan plan) : plan_(std::move(plan)) {
  for (std::size_t n = 0; n < plan_.clients; ++n) {
    Client& client = clients_.emplace_back();
    client.fd = ConnectTo(plan_.port);
    client.message = plan_.message(n);
    const bool is_whole = plan_.whole_each > 0 && n % plan_.whole_each == 0;
    client.end = client.message.size() - (is_whole ? 0 : 1);
  }
}

Crowd::~Crowd() {
  Leave();
}

void Crowd::Leave() {
  for (Client& it : clients_) {
    if (it.fd >= 0) {
      close(std::exchange(it.fd, -1));
    }
    it.is_open = false;
  }
}

void Crowd::Read(Client& client) {
  std::array<char, 4096> buf{};
  const ssize_t n = recv(client.fd, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n > 0) {
    client.answer.append(buf.data(), static_cast<std::size_t>(n));
  } else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    client.is_open = false;
  }
}

void Crowd::Send(Client& client) const {
  std::size_t left = std::min(plan_.piece_bytes, client.end - client.offset);
  while (left > 0) {
    const std::string_view next =
        client.message.From(client.offset).substr(0, left);
    const ssize_t n =
        send(client.fd, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0) {
      client.is_open = errno == EAGAIN || errno == EWOULDBLOCK;
      return;
    }
    client.offset += static_cast<std::size_t>(n);
    left -= static_cast<std::size_t>(n);
  }
}

void Crowd::Run(const std::function<void()>& observe) {
  const auto is_sending = [](const Client& it) { return it.IsSending(); };
  while (std::ranges::any_of(clients_, is_sending)) {
    std::vector<pollfd> waiting;
    std::vector<Client*> sending;
    for (Client& it : clients_) {
      if (it.IsSending()) {
        waiting.push_back({it.fd, POLLIN | POLLOUT, 0});
        sending.push_back(&it);
      }
    }
    poll(waiting.data(), waiting.size(), kPollMs);
    for (std::size_t n = 0; n < waiting.size(); ++n) {
      if ((waiting[n].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
        Read(*sending[n]);
      }
      if (sending[n]->is_open && (waiting[n].revents & POLLOUT) != 0) {
        Send(*sending[n]);
      }
    }
    observe();
  }
}

int Crowd::StatusOf(std::size_t client) {
  Client& it = clients_[client];
  while (it.fd >= 0 && it.is_open) {
    const std::size_t before = it.answer.size();
    Read(it);
    if (it.answer.size() == before) {
      break;
    }
  }
  return StatusCodeOf(it.answer);
}

}  // namespace damasktack
