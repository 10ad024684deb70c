/// Crowd of clients that send large or unfinished requests and stay open.
///
/// Prints "held" once every connection has sent all, was closed or takes
/// nothing more, and then keeps them open until the time is over. With
/// --response a single client sends its request whole and prints the response.
#include "base/clock.h"
#include "crowd/datagrams.h"
#include "crowd/forms.h"
#include "net/address.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <tclap/CmdLine.h>
#include <thread>
#include <unistd.h>

namespace tarragonbridge::crowd {

namespace {
constexpr milliseconds MaxSilence{2'000}; ///< then servers take nothing more
constexpr milliseconds WaitStep{100};
constexpr int MaxOpenings = 3; ///< of one connection that servers close
constexpr milliseconds DripInterval{300};
/// A crowd whose connections come again and again is there after this time.
constexpr milliseconds ReconnectTime{3'000};

struct options {
  sockaddr_in Address{};
  form Form;
  int Connections = 0;
  std::chrono::seconds Time{};
  bool IsDatagrams = false;
  bool PrintsResponse = false;
};

struct connection {
  int Fd = -1;
  std::size_t Sent = 0;
  int Openings = 0;
};

class crowd {
public:
  explicit crowd(options Given)
      : Options(std::move(Given)), Epoll(epoll_create1(0)),
        Connections(static_cast<std::size_t>(Options.Connections)) {}

  void run();

private:
  void open(std::size_t Index);
  void send(std::size_t Index);
  /// Sends a byte on each connection.
  void drip();
  void wait();
  bool isSending() const;
  std::size_t sizeSentAtOnce() const;

  options Options;
  int Epoll;
  std::vector<connection> Connections;
  boot_time StartedAt = bootNow();
  boot_time SentAt = bootNow();
};

void crowd::open(std::size_t Index) {
  connection &Connection = Connections[Index];
  if (Connection.Fd >= 0) {
    close(Connection.Fd);
  }
  Connection.Fd = -1;
  Connection.Sent = 0;
  if (Connection.Openings == MaxOpenings && !Options.Form.Reconnects) {
    return;
  }
  ++Connection.Openings;
  Connection.Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  (void)connect(Connection.Fd,
                reinterpret_cast<const sockaddr *>(&Options.Address),
                sizeof(Options.Address));
  epoll_event Event{};
  Event.events = EPOLLOUT;
  Event.data.u64 = Index;
  epoll_ctl(Epoll, EPOLL_CTL_ADD, Connection.Fd, &Event);
}

void crowd::send(std::size_t Index) {
  connection &Connection = Connections[Index];
  std::string Bytes = Options.Form.piece(Connection.Sent, Index);
  if (Options.Form.DripsFrom != 0 && !Bytes.empty()) {
    const std::size_t Left = Options.Form.DripsFrom -
                             std::min(Options.Form.DripsFrom, Connection.Sent);
    Bytes.resize(std::min(Bytes.size(), Left));
  }
  const ssize_t Count =
      ::send(Connection.Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  if (Count > 0) {
    Connection.Sent += static_cast<std::size_t>(Count);
    SentAt = bootNow();
  }
  if (Connection.Sent == sizeSentAtOnce() && Options.Form.Reconnects) {
    open(Index);
  } else if (Connection.Sent == sizeSentAtOnce()) {
    epoll_event Event{}; // only its end is of interest now
    Event.data.u64 = Index;
    epoll_ctl(Epoll, EPOLL_CTL_MOD, Connection.Fd, &Event);
  }
}

std::size_t crowd::sizeSentAtOnce() const {
  const form &Form = Options.Form;
  return Form.DripsFrom != 0 ? Form.DripsFrom : Form.size();
}

void crowd::drip() {
  for (connection &Connection : Connections) {
    const bool HasMore = Connection.Fd >= 0 &&
                         Connection.Sent >= Options.Form.DripsFrom &&
                         Connection.Sent < Options.Form.size();
    if (HasMore && ::send(Connection.Fd, "x", 1, MSG_NOSIGNAL) == 1) {
      ++Connection.Sent;
    }
  }
}

void crowd::wait() {
  std::array<epoll_event, 64> Events{};
  const int Count = epoll_wait(Epoll, Events.data(), Events.size(),
                               static_cast<int>(WaitStep.count()));
  for (int Index = 0; Index < Count; ++Index) {
    const epoll_event &Event = Events.at(static_cast<std::size_t>(Index));
    if ((Event.events & (EPOLLERR | EPOLLHUP)) != 0) {
      open(Event.data.u64);
    } else {
      send(Event.data.u64);
    }
  }
}

bool crowd::isSending() const {
  if (Options.Form.Reconnects) {
    return bootNow() - StartedAt < ReconnectTime;
  }
  const bool HasUnsent = std::any_of(
      Connections.begin(), Connections.end(), [&](const connection &Each) {
        return Each.Fd >= 0 && Each.Sent < sizeSentAtOnce();
      });
  return HasUnsent && bootNow() - SentAt < MaxSilence;
}

void crowd::run() {
  const boot_time EndsAt = bootNow() + Options.Time;
  for (std::size_t Index = 0; Index < Connections.size(); ++Index) {
    open(Index);
  }
  while (isSending() && bootNow() < EndsAt) {
    wait();
  }
  std::cout << "held" << std::endl;
  boot_time DripAt = bootNow();
  while (bootNow() < EndsAt) {
    wait();
    if (Options.Form.DripsFrom != 0 && bootNow() >= DripAt) {
      drip();
      DripAt = bootNow() + DripInterval;
    }
  }
}

/// Sends one request and prints its response.
///
/// @returns whether there was one
bool printResponse(const options &Options) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  (void)connect(Fd, reinterpret_cast<const sockaddr *>(&Options.Address),
                sizeof(Options.Address));
  const form &Form = Options.Form;
  for (std::size_t Sent = 0; Sent < Form.size();) {
    const std::string Bytes = Form.piece(Sent, 0);
    const ssize_t Count = ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count <= 0) {
      break;
    }
    Sent += static_cast<std::size_t>(Count);
    std::this_thread::sleep_for(Form.Pause);
  }
  std::array<char, 1'024> Buffer{};
  const ssize_t Count = recv(Fd, Buffer.data(), Buffer.size(), 0);
  std::cout << std::string_view(Buffer.data(), static_cast<std::size_t>(
                                                   std::max<ssize_t>(Count, 0)))
            << "\n";
  close(Fd);
  return Count > 0;
}

std::optional<options> parseOptions(int Count, char **Values) {
  TCLAP::CmdLine Line("Crowd of clients that stop short of their ends.", ' ',
                      "test");
  TCLAP::ValueArg<std::string> Address("", "address", "IP and port", true, "",
                                       "address", Line);
  TCLAP::ValueArg<std::string> Form("", "form", "what is sent", true, "",
                                    "name", Line);
  TCLAP::ValueArg<std::string> Path("", "path", "of a job", true, "", "path",
                                    Line);
  TCLAP::ValueArg<std::string> Host("", "host", "header", false, "desk.example",
                                    "name", Line);
  TCLAP::ValueArg<std::string> Key("", "key", "header of a job's key", false,
                                   "", "key", Line);
  TCLAP::ValueArg<int> Connections("", "connections", "at once", true, 0,
                                   "number", Line);
  TCLAP::ValueArg<int> Time("", "seconds", "until all are closed", false, 60,
                            "number", Line);
  TCLAP::SwitchArg Response("", "response", "one client prints its response",
                            Line);
  Line.parse(Count, Values);
  const auto Parsed = parseAddress(Address.getValue());
  const auto Datagrams = findDatagrams(Form.getValue());
  const auto Found =
      Datagrams ? Datagrams
                : findForm(Form.getValue(),
                           {Path.getValue(), Host.getValue(), Key.getValue()});
  if (!Parsed || !Found) {
    return std::nullopt;
  }
  return options{*Parsed,
                 *Found,
                 Connections.getValue(),
                 std::chrono::seconds(Time.getValue()),
                 Datagrams.has_value(),
                 Response.getValue()};
}
} // namespace

} // namespace tarragonbridge::crowd

int main(int Count, char **Values) {
  using namespace tarragonbridge::crowd; // NOLINT: the program's own
  auto Options = parseOptions(Count, Values);
  if (!Options) {
    std::cerr << "no such address or form\n";
    return 2;
  }
  if (Options->PrintsResponse) {
    return printResponse(*Options) ? 0 : 1;
  }
  if (Options->IsDatagrams) {
    sendDatagrams(Options->Address, Options->Form, Options->Connections);
    std::cout << "held" << std::endl;
    return 0;
  }
  crowd(std::move(*Options)).run();
  return 0;
}
