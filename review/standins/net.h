/// Sockets, one poll loop and HTTP/1.1 for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
inline double nowMs() {
  timespec Time{};
  clock_gettime(CLOCK_MONOTONIC, &Time);
  return static_cast<double>(Time.tv_sec) * 1e3 +
         static_cast<double>(Time.tv_nsec) / 1e6;
}

struct http_message {
  std::string Method; ///< of a request
  std::string Path;
  int Status = 0;                             ///< of a response
  std::map<std::string, std::string> Headers; ///< names in lower case
  std::string Body;
};

/// Takes one message from the front of a buffer. @returns whether it is whole
inline bool takeMessage(std::string &Buffer, http_message &Message) {
  const std::size_t End = Buffer.find("\r\n\r\n");
  if (End == std::string::npos) {
    return false;
  }
  Message = {};
  std::size_t At = Buffer.find("\r\n");
  const std::string First = Buffer.substr(0, At);
  while (At < End) {
    const std::size_t Next = Buffer.find("\r\n", At + 2);
    const std::string Line = Buffer.substr(At + 2, Next - At - 2);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      std::string Name = Line.substr(0, Colon);
      for (char &Char : Name) {
        Char = static_cast<char>(tolower(Char));
      }
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Message.Headers[Name] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
    At = Next;
  }
  const auto Length = Message.Headers.find("content-length");
  const std::size_t Size =
      Length == Message.Headers.end() ? 0 : std::stoul(Length->second);
  if (Buffer.size() < End + 4 + Size) {
    return false;
  }
  Message.Body = Buffer.substr(End + 4, Size);
  Buffer.erase(0, End + 4 + Size);
  const std::size_t Space = First.find(' ');
  if (First.starts_with("HTTP/")) {
    Message.Status = std::stoi(First.substr(Space + 1));
  } else {
    Message.Method = First.substr(0, Space);
    Message.Path =
        First.substr(Space + 1, First.find(' ', Space + 1) - Space - 1);
  }
  return true;
}

inline sockaddr_in addressOf(const std::string &Text) {
  sockaddr_in Address{};
  const std::size_t Colon = Text.find(':');
  Address.sin_family = AF_INET;
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
  Address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1))));
  return Address;
}

/// @returns a port that is free for TCP and UDP at an address
inline std::uint16_t freePort(const std::string &Ip) {
  for (int Try = 0; Try < 100; ++Try) {
    sockaddr_in Address = addressOf(Ip + ":0");
    socklen_t Size = sizeof(Address);
    const int Tcp = socket(AF_INET, SOCK_STREAM, 0);
    const int Udp = socket(AF_INET, SOCK_DGRAM, 0);
    bind(Tcp, reinterpret_cast<sockaddr *>(&Address), Size);
    getsockname(Tcp, reinterpret_cast<sockaddr *>(&Address), &Size);
    const bool IsFree =
        bind(Udp, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
    close(Tcp);
    close(Udp);
    if (IsFree) {
      return ntohs(Address.sin_port);
    }
  }
  return 0;
}

class loop;

/// One end of a TCP connection.
struct connection : std::enable_shared_from_this<connection> {
  int Fd = -1;
  std::string In;
  std::string Out;
  bool IsClosed = false;
  std::function<void(connection &)> OnData;
  std::function<void(connection &)> OnClose;

  void send(std::string_view Bytes) {
    Out += Bytes;
    flush();
  }
  void flush() {
    while (!Out.empty() && !IsClosed) {
      const ssize_t Count =
          ::send(Fd, Out.data(), Out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Count <= 0) {
        return;
      }
      Out.erase(0, static_cast<std::size_t>(Count));
    }
  }
  /// Ends this side; OnClose isn't called.
  void end() {
    if (!IsClosed && Fd >= 0) {
      IsClosed = true;
      close(Fd);
    }
  }
  void respond(int Status, const std::string &Body) {
    if (Fd < 0 || IsClosed) {
      return; // nobody waits for the response
    }
    send("HTTP/1.1 " + std::to_string(Status) +
         " -\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }
};
using connection_ptr = std::shared_ptr<connection>;
using request_handler =
    std::function<void(const connection_ptr &, const http_message &)>;

/// Polls all sockets and runs what is due.
class loop {
public:
  void at(double When, std::function<void()> Action) {
    Timers.emplace(When, std::move(Action));
  }
  void after(double Ms, std::function<void()> Action) {
    at(nowMs() + Ms, std::move(Action));
  }

  bool listen(const std::string &Address, request_handler Handler) {
    const int Fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in Parsed = addressOf(Address);
    if (bind(Fd, reinterpret_cast<const sockaddr *>(&Parsed), sizeof(Parsed)) !=
            0 ||
        ::listen(Fd, 1024) != 0) {
      return false;
    }
    Listeners[Fd] = std::move(Handler);
    return true;
  }

  connection_ptr connect(const std::string &Address) {
    const int Fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in Parsed = addressOf(Address);
    ::connect(Fd, reinterpret_cast<const sockaddr *>(&Parsed), sizeof(Parsed));
    return add(Fd);
  }

  void runOnce() {
    std::vector<pollfd> Polled;
    for (const auto &[Fd, Handler] : Listeners) {
      Polled.push_back({Fd, POLLIN, 0});
    }
    std::erase_if(Connections,
                  [](const auto &Entry) { return Entry->IsClosed; });
    const std::vector<connection_ptr> Open = Connections;
    for (const connection_ptr &Entry : Open) {
      const short Events =
          static_cast<short>(POLLIN | (Entry->Out.empty() ? 0 : POLLOUT));
      Polled.push_back({Entry->Fd, Events, 0});
    }
    const double Wait =
        Timers.empty() ? 100 : Timers.begin()->first - nowMs() + 0.5;
    poll(Polled.data(), Polled.size(),
         static_cast<int>(Wait < 0     ? 0
                          : Wait > 100 ? 100
                                       : Wait));
    std::size_t Index = 0;
    for (const auto &[Fd, Handler] : Listeners) {
      if (Polled[Index++].revents != 0) {
        accept(Fd, Handler);
      }
    }
    for (const connection_ptr &Entry : Open) {
      const short Events = Polled[Index++].revents;
      if (Events != 0 && !Entry->IsClosed) {
        handle(Entry, Events);
      }
    }
    while (!Timers.empty() && Timers.begin()->first <= nowMs()) {
      const auto Action = std::move(Timers.begin()->second);
      Timers.erase(Timers.begin());
      Action();
    }
  }

private:
  connection_ptr add(int Fd) {
    const int On = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    auto Entry = std::make_shared<connection>();
    Entry->Fd = Fd;
    Connections.push_back(Entry);
    return Entry;
  }

  void accept(int Listener, const request_handler &Handler) {
    for (;;) {
      const int Fd =
          accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (Fd < 0) {
        return;
      }
      add(Fd)->OnData = [Handler](connection &Entry) {
        http_message Message;
        while (!Entry.IsClosed && takeMessage(Entry.In, Message)) {
          Handler(Entry.shared_from_this(), Message);
        }
      };
    }
  }

  static void handle(const connection_ptr &Entry, short Events) {
    if ((Events & POLLOUT) != 0) {
      Entry->flush();
    }
    if ((Events & (POLLIN | POLLHUP | POLLERR)) == 0) {
      return;
    }
    char Buffer[65'536];
    for (;;) {
      const ssize_t Count = recv(Entry->Fd, Buffer, sizeof(Buffer), 0);
      if (Count > 0) {
        Entry->In.append(Buffer, static_cast<std::size_t>(Count));
        continue;
      }
      if (Entry->OnData && !Entry->In.empty()) {
        Entry->OnData(*Entry);
      }
      if (Count == 0 || (errno != EAGAIN && errno != EINTR)) {
        if (!Entry->IsClosed) {
          Entry->end();
          if (Entry->OnClose) {
            Entry->OnClose(*Entry);
          }
        }
      }
      return;
    }
  }

  std::map<int, request_handler> Listeners;
  std::vector<connection_ptr> Connections;
  std::multimap<double, std::function<void()>> Timers;
};

} // namespace review
