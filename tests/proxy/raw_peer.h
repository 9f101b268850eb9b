#ifndef TESTS_PROXY_RAW_PEER_H_
#define TESTS_PROXY_RAW_PEER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace damasktack {

// A TCP connection on which a test controls every byte. Reads time out after a
// generous limit, so that a fault fails the test instead of hanging it.
class RawConnection {
 public:
  explicit RawConnection(int fd);
  RawConnection(RawConnection&& other) noexcept;
  RawConnection& operator=(RawConnection&&) = delete;
  ~RawConnection();

  // Connects to 127.0.0.1.
  static RawConnection To(std::uint16_t port);

  bool Send(std::string_view bytes);
  // Reads one message: the head, and the body according to Content-Length or up
  // to the last chunk. Returns the bytes received so far if the peer closes.
  std::string ReadMessage();
  // Reads only the head; the rest stays unread, partly in the kernel.
  std::string ReadHead();
  // Reads until the peer closes.
  std::string ReadToEnd();
  // Waits until the peer has closed, also while data from it is unread. Returns
  // false on timeout.
  bool WaitForHangUp();
  void FinishSending();
  void Close();
  // Closes the connection with a reset.
  void Reset();
  // Makes the kernel discard all packets of the peer from now on, as if the
  // network path was lost.
  void DropIncoming();

 private:
  bool ReadMore();

  int fd_ = -1;
  std::string buf_;
};

// An endpoint that runs a handler given by the test for each connection, each
// on its own thread.
class RawEndpoint {
 public:
  using Script = std::function<void(RawConnection&)>;

  explicit RawEndpoint(Script script);
  ~RawEndpoint();

  std::uint16_t port() const { return port_; }
  // Number of connections accepted so far.
  int connections() const { return connections_; }

 private:
  void Accept();

  const Script script_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread acceptor_;
  std::vector<std::thread> threads_;
};

// Returns a 200 answer with the given body.
std::string OkAnswer(std::string_view body, std::string_view headers = "");

// Returns a port of 127.0.0.1 on which nothing listens.
std::uint16_t ClosedPort();

}  // namespace damasktack

#endif  // TESTS_PROXY_RAW_PEER_H_
