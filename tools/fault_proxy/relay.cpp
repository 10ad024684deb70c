#include "fault_proxy/relay.h"

#include "base/clock.h"
#include "net/address.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tarragonbridge {

namespace {
constexpr int Backlog = 512;
constexpr milliseconds MaxPoll{1'000};

boost::leaf::error_id fail(const std::string &Peer, std::string Message) {
  return boost::leaf::new_error(
      error{"relay", Peer, reason::Malformed, std::move(Message)});
}

int openSocket() {
  const int Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int Yes = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof Yes);
  return Socket;
}

/// Closes with a reset, so that the other side sees a broken connection.
void resetSocket(int Socket) {
  const linger Linger{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof Linger);
  close(Socket);
}

/// @returns a connecting socket, or -1
int connectTo(const std::string &To) {
  const auto Address = parseAddress(To);
  const int Socket = openSocket();
  const int Failure = connect(
      Socket, reinterpret_cast<const sockaddr *>(&*Address), sizeof *Address);
  if (Failure != 0 && errno != EINPROGRESS) {
    close(Socket);
    return -1;
  }
  return Socket;
}

bool isReady(const std::map<int, short> &Ready, int Socket, int Events) {
  const auto Found = Ready.find(Socket);
  return Found != Ready.end() &&
         (Found->second & (Events | POLLERR | POLLHUP)) != 0;
}
} // namespace

link_relay::link_relay(std::uint64_t Seed)
    : Random(Seed), WakeUp(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  Thread = posix_thread("links", [this] { run(); });
}

link_relay::~link_relay() {
  Stopping = true;
  wake();
  Thread.join();
  for (auto &[Name, Link] : Links) {
    resetAll(Link);
    close(Link.Listener);
  }
  close(WakeUp);
}

void link_relay::wake() const {
  const std::uint64_t One = 1;
  (void)!write(WakeUp, &One, sizeof One);
}

result<std::string> link_relay::add(const std::string &Name,
                                    const std::string &Listen,
                                    const std::string &To) {
  auto Address = parseAddress(Listen);
  if (!Address || !parseAddress(To)) {
    return fail(Name, "listen and to: expected an IP address and port");
  }
  const int Listener = openSocket();
  const bool IsOpen = bind(Listener, reinterpret_cast<sockaddr *>(&*Address),
                           sizeof *Address) == 0 &&
                      listen(Listener, Backlog) == 0;
  if (!IsOpen) {
    const std::string Why = std::strerror(errno);
    close(Listener);
    return fail(Listen, Why);
  }
  socklen_t Size = sizeof *Address;
  getsockname(Listener, reinterpret_cast<sockaddr *>(&*Address), &Size);
  {
    const std::lock_guard Lock(Mutex);
    const auto [Added, IsNew] = Links.try_emplace(Name);
    if (!IsNew) {
      close(Listener);
      return fail(Name, "the link exists");
    }
    Added->second.Listener = Listener;
    Added->second.To = To;
  }
  wake();
  return Listen.substr(0, Listen.rfind(':') + 1) +
         std::to_string(ntohs(Address->sin_port));
}

result<void> link_relay::change(const std::string &Name,
                                std::string_view Body) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Links.find(Name);
  if (Found == Links.end()) {
    return fail(Name, "no such link");
  }
  BOOST_LEAF_CHECK(applyFaults(Body, Found->second.Faults));
  wake();
  return {};
}

void link_relay::run() {
  while (!Stopping) {
    std::vector<pollfd> Polled;
    const int Timeout = prepare(Polled);
    poll(Polled.data(), Polled.size(), Timeout);
    serve(Polled);
  }
}

/// Lists the sockets to wait for. @returns for how long, in milliseconds
int link_relay::prepare(std::vector<pollfd> &Polled) {
  const std::lock_guard Lock(Mutex);
  boot_time Next = bootNow() + MaxPoll;
  Polled.push_back({WakeUp, POLLIN, 0});
  const auto Add = [&](const relay_stream &Stream,
                       const direction_faults &Faults) {
    if (Stream.wantsInput()) {
      Polled.push_back({Stream.from(), POLLIN, 0});
    }
    if (Stream.wantsOutput() && !Faults.Held) {
      Polled.push_back({Stream.to(), POLLOUT, 0});
    }
    Next = std::min(Next, Stream.nextDue(Faults).value_or(Next));
  };
  for (const auto &[Name, Link] : Links) {
    Polled.push_back({Link.Listener, POLLIN, 0});
    for (const connection &Connection : Link.Connections) {
      Add(Connection.Forward, Link.Faults.Forward);
      Add(Connection.Backward, Link.Faults.Backward);
    }
  }
  const auto Wait = std::chrono::ceil<milliseconds>(Next - bootNow());
  return static_cast<int>(std::max<std::int64_t>(0, Wait.count()));
}

void link_relay::serve(const std::vector<pollfd> &Polled) {
  std::map<int, short> Ready;
  for (const pollfd &One : Polled) {
    Ready[One.fd] = static_cast<short>(Ready[One.fd] | One.revents);
  }
  const std::lock_guard Lock(Mutex);
  if (Ready[WakeUp] != 0) {
    std::uint64_t Count = 0;
    (void)!read(WakeUp, &Count, sizeof Count);
  }
  for (auto &[Name, Link] : Links) {
    serveLink(Link, Ready);
    if (isReady(Ready, Link.Listener, POLLIN)) {
      acceptAll(Link);
    }
  }
}

void link_relay::serveLink(link &Link, const std::map<int, short> &Ready) {
  if (Link.Faults.Reset) {
    resetAll(Link);
    return;
  }
  const auto Serve = [&](relay_stream &Stream, const direction_faults &Faults) {
    if (isReady(Ready, Stream.from(), POLLIN)) {
      Stream.receive(Faults, Random);
    }
    if (!Stream.wantsOutput() || isReady(Ready, Stream.to(), POLLOUT)) {
      Stream.deliver(Faults);
    }
  };
  std::erase_if(Link.Connections, [&](connection &Connection) {
    Serve(Connection.Forward, Link.Faults.Forward);
    Serve(Connection.Backward, Link.Faults.Backward);
    const bool HasBroken =
        Connection.Forward.hasBroken() || Connection.Backward.hasBroken();
    const bool IsOver =
        Connection.Forward.isFinished() && Connection.Backward.isFinished();
    if (HasBroken) {
      resetSocket(Connection.Forward.from());
      resetSocket(Connection.Forward.to());
    } else if (IsOver) {
      close(Connection.Forward.from());
      close(Connection.Forward.to());
    }
    return HasBroken || IsOver;
  });
}

void link_relay::acceptAll(link &Link) {
  while (true) {
    const int Caller =
        accept4(Link.Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Caller < 0) {
      return;
    }
    const int Yes = 1;
    setsockopt(Caller, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
    const int Called = Link.Faults.Reset ? -1 : connectTo(Link.To);
    if (Called < 0) {
      resetSocket(Caller);
      continue;
    }
    Link.Connections.push_back(
        {relay_stream(Caller, Called), relay_stream(Called, Caller)});
  }
}

void link_relay::resetAll(link &Link) {
  for (const connection &Connection : Link.Connections) {
    resetSocket(Connection.Forward.from());
    resetSocket(Connection.Forward.to());
  }
  Link.Connections.clear();
}

} // namespace tarragonbridge
