#ifndef TESTS_CROWD_CROWD_H_
#define TESTS_CROWD_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damasktack {

// A message as a head, a part that is sent several times, and an end.
struct CrowdMessage {
  std::string head;
  // Shared by all clients of a crowd.
  std::shared_ptr<const std::string> part;
  std::size_t repeats = 0;
  std::string end;

  std::size_t size() const {
    return head.size() + part->size() * repeats + end.size();
  }
  // Returns what follows the first `offset` bytes, or a beginning of it.
  std::string_view From(std::size_t offset) const;
};

// Many clients that send one message each and keep their connections open
// afterwards. They go on sending after an answer, until the message or the
// connection ends. Used on one thread.
class Crowd {
 public:
  struct Plan {
    std::uint16_t port = 0;
    std::size_t clients = 16;
    // How many bytes a client sends before it is the next one's turn.
    std::size_t piece_bytes = 1 << 20;
    // Each client whose number divides by this sends its whole message; all
    // others stop one byte short of its end. 0: all stop short.
    std::size_t whole_each = 4;
    std::function<CrowdMessage(std::size_t client)> message;
  };

  explicit Crowd(Plan plan);
  ~Crowd();

  // Sends until each client has sent its part of the message or was cut off.
  // Calls `observe` again and again meanwhile.
  void Run(const std::function<void()>& observe);
  // Returns the status of the answer that a client has got; 0 if it has none.
  int StatusOf(std::size_t client);
  std::size_t size() const { return clients_.size(); }
  // Closes all connections.
  void Leave();

 private:
  struct Client {
    int fd = -1;
    CrowdMessage message;
    std::size_t offset = 0;
    std::size_t end = 0;
    std::string answer;
    bool is_open = true;

    bool IsSending() const { return is_open && offset < end; }
  };

  void Send(Client& client) const;
  static void Read(Client& client);

  const Plan plan_;
  std::vector<Client> clients_;
};

}  // namespace damasktack

#endif  // TESTS_CROWD_CROWD_H_
