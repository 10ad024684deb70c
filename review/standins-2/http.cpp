#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdint>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

namespace {
sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  return Address;
}

std::string lower(std::string Text) {
  for (char &Char : Text) {
    Char = static_cast<char>(std::tolower(static_cast<unsigned char>(Char)));
  }
  return Text;
}

std::string unescape(const std::string &Text) {
  std::string Plain;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      Plain +=
          static_cast<char>(std::stoi(Text.substr(Index + 1, 2), nullptr, 16));
      Index += 2;
    } else {
      Plain += Text[Index];
    }
  }
  return Plain;
}

void parseTarget(const std::string &Target, http_message &Message) {
  const std::size_t Mark = Target.find('?');
  Message.Path = Target.substr(0, Mark);
  if (Mark == std::string::npos) {
    return;
  }
  std::string Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string Pair = Rest.substr(0, End);
    const std::size_t Equals = std::min(Pair.find('='), Pair.size());
    Message.Query[Pair.substr(0, Equals)] =
        unescape(Pair.substr(std::min(Equals + 1, Pair.size())));
    Rest.erase(0, std::min(End + 1, Rest.size()));
  }
}

bool sendAll(int Fd, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0) {
      return false;
    }
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// Reads one message. The first line is left in Start.
bool readMessage(int Fd, std::string &Buffer, std::string &Start,
                 http_message &Message) {
  char Chunk[16384];
  std::size_t HeadEnd = 0;
  while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t Count = recv(Fd, Chunk, sizeof(Chunk), 0);
    if (Count <= 0) {
      return false;
    }
    Buffer.append(Chunk, static_cast<std::size_t>(Count));
  }
  std::string Head = Buffer.substr(0, HeadEnd + 2);
  Buffer.erase(0, HeadEnd + 4);
  std::size_t LineEnd = Head.find("\r\n");
  Start = Head.substr(0, LineEnd);
  Head.erase(0, LineEnd + 2);
  while ((LineEnd = Head.find("\r\n")) != std::string::npos) {
    const std::string Line = Head.substr(0, LineEnd);
    Head.erase(0, LineEnd + 2);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Message.Headers[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
  }
  if (Message.Headers.contains("expect")) {
    sendAll(Fd, "HTTP/1.1 100 Continue\r\n\r\n");
  }
  std::size_t Length = 0;
  if (Message.Headers.contains("content-length")) {
    Length = std::stoul(Message.Headers["content-length"]);
  }
  while (Buffer.size() < Length) {
    const ssize_t Count = recv(Fd, Chunk, sizeof(Chunk), 0);
    if (Count <= 0) {
      return false;
    }
    Buffer.append(Chunk, static_cast<std::size_t>(Count));
  }
  Message.Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return true;
}
} // namespace

bool http_server::start(int Wanted) {
  Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = loopback(Wanted);
  socklen_t Size = sizeof(Address);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      listen(Listener, 256) != 0) {
    return false;
  }
  getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  Acceptor = std::thread([this, Fd = Listener] { accept(Fd); });
  return true;
}

void http_server::accept(int Fd) {
  while (true) {
    const int Connection = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (Connection < 0) {
      return;
    }
    const int On = 1;
    setsockopt(Connection, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    {
      const std::lock_guard Lock(Mutex);
      Connections.insert(Connection);
    }
    std::thread([this, Connection] { serve(Connection); }).detach();
  }
}

void http_server::serve(int Fd) {
  std::string Buffer;
  std::string Start;
  http_message Message;
  while (readMessage(Fd, Buffer, Start, Message)) {
    const std::size_t First = Start.find(' ');
    const std::size_t Second = Start.find(' ', First + 1);
    Message.Method = Start.substr(0, First);
    parseTarget(Start.substr(First + 1, Second - First - 1), Message);
    const http_reply Reply = Handler(Message);
    if (Reply.Status == 0) {
      break; // no answer: the channel ends
    }
    if (!sendAll(Fd, "HTTP/1.1 " + std::to_string(Reply.Status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(Reply.Body.size()) + "\r\n\r\n" +
                         Reply.Body)) {
      break;
    }
    Message = {};
  }
  const std::lock_guard Lock(Mutex);
  Connections.erase(Fd);
  ::close(Fd);
}

void http_server::stop() {
  if (Listener < 0) {
    return;
  }
  shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(Listener);
  Listener = -1;
  const std::lock_guard Lock(Mutex);
  for (const int Fd : Connections) {
    shutdown(Fd, SHUT_RDWR); // its thread closes it
  }
}

http_call::http_call(int Port, const std::string &Method,
                     const std::string &Path,
                     const std::map<std::string, std::string> &Headers,
                     const std::string &Body) {
  Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = loopback(Port);
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    close();
    return;
  }
  std::string Bytes = Method + " " + Path + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Headers) {
    Bytes += Name + ": " + Value + "\r\n";
  }
  if (!Body.empty()) {
    Bytes += "Content-Type: application/json\r\n";
  }
  Bytes += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  sendAll(Fd, Bytes);
}

int http_call::await(int TimeoutMs, std::string *Body) {
  if (Fd < 0) {
    return 0;
  }
  timeval Timeout{TimeoutMs / 1000, (TimeoutMs % 1000) * 1000};
  setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Timeout, sizeof(Timeout));
  std::string Buffer;
  std::string Start;
  http_message Message;
  if (!readMessage(Fd, Buffer, Start, Message)) {
    return 0;
  }
  if (Body != nullptr) {
    *Body = Message.Body;
  }
  return std::stoi(Start.substr(Start.find(' ') + 1, 3));
}

void http_call::close() {
  if (Fd >= 0) {
    ::close(Fd);
    Fd = -1;
  }
}

int request(int Port, const std::string &Method, const std::string &Path,
            const std::string &Body, int TimeoutMs, std::string *ResponseBody,
            const std::map<std::string, std::string> &Headers) {
  std::map<std::string, std::string> All = Headers;
  All.emplace("Host", "127.0.0.1");
  http_call Call(Port, Method, Path, All, Body);
  return Call.await(TimeoutMs, ResponseBody);
}

int freePort() {
  // Below the ports that the system gives to outgoing connections.
  constexpr int First = 18'000;
  constexpr int Count = 14'000;
  static int Next = static_cast<int>(getpid()) * 61 % Count;
  for (int Try = 0; Try < Count; ++Try) {
    Next = (Next + 1) % Count;
    const sockaddr_in Address = loopback(First + Next);
    bool IsFree = true;
    for (const int Kind : {SOCK_STREAM, SOCK_DGRAM}) {
      const int Fd = socket(AF_INET, Kind | SOCK_CLOEXEC, 0);
      IsFree = bind(Fd, reinterpret_cast<const sockaddr *>(&Address),
                    sizeof(Address)) == 0 &&
               IsFree;
      ::close(Fd);
    }
    if (IsFree) {
      return First + Next;
    }
  }
  return 0;
}

} // namespace standin
