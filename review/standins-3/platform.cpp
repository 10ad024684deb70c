#include "platform.h"

#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace {
const auto Began = std::chrono::steady_clock::now();
std::FILE *Record = stdout;
std::mutex RecordMutex;

sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
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
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Plain += static_cast<char>(
          std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
      At += 2;
    } else {
      Plain += Text[At];
    }
  }
  return Plain;
}

const char *Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &Bytes) {
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    const std::size_t Count = std::min<std::size_t>(3, Bytes.size() - At);
    for (std::size_t Index = 0; Index < 3; ++Index) {
      Group =
          Group << 8 |
          (Index < Count ? static_cast<unsigned char>(Bytes[At + Index]) : 0U);
    }
    for (std::size_t Index = 0; Index < 4; ++Index) {
      Text += Index <= Count ? Digits[Group >> (18 - 6 * Index) & 63] : '=';
    }
  }
  return Text;
}

std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  std::uint32_t Group = 0;
  int Bits = 0;
  for (const char Char : Text) {
    const char *Found = Char == '=' ? nullptr : std::strchr(Digits, Char);
    if (Found == nullptr) {
      break;
    }
    Group = Group << 6 | static_cast<std::uint32_t>(Found - Digits);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> Bits & 255);
    }
  }
  return Bytes;
}

/// Reads a message of HTTP from a socket; Buffer keeps what follows it.
bool readMessage(int Socket, std::string &Buffer, std::string &FirstLine,
                 std::map<std::string, std::string> &Headers, std::string &Body,
                 std::int64_t Until) {
  const auto Fill = [&] {
    const std::int64_t Left = Until < 0 ? -1 : Until - nowMs();
    if (Until >= 0 && Left <= 0) {
      return false;
    }
    pollfd Poll{Socket, POLLIN, 0};
    if (poll(&Poll, 1, static_cast<int>(Left)) <= 0) {
      return false;
    }
    char Bytes[16384];
    const ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0) {
      return false;
    }
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  };
  std::size_t End = 0;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  std::string Head = Buffer.substr(0, End + 2);
  Buffer.erase(0, End + 4);
  Headers.clear();
  FirstLine = Head.substr(0, Head.find("\r\n"));
  Head.erase(0, FirstLine.size() + 2);
  while (!Head.empty()) {
    const std::string Line = Head.substr(0, Head.find("\r\n"));
    Head.erase(0, Line.size() + 2);
    const std::size_t Colon = Line.find(':');
    if (Colon != std::string::npos) {
      const std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Headers[lower(Line.substr(0, Colon))] =
          Value == std::string::npos ? "" : Line.substr(Value);
    }
  }
  const auto Length = Headers.find("content-length");
  const std::size_t Size =
      Length == Headers.end()
          ? 0
          : static_cast<std::size_t>(std::atoll(Length->second.c_str()));
  while (Buffer.size() < Size) {
    if (!Fill()) {
      return false;
    }
  }
  Body = Buffer.substr(0, Size);
  Buffer.erase(0, Size);
  return true;
}

bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0) {
      return false;
    }
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

/// A parser of JSON by recursive descent.
class parser {
public:
  explicit parser(std::string_view Text) : Rest(Text) {}
  json value() {
    skip();
    json Value;
    const char Char = peek();
    if (Char == '{') {
      Value.Kind = json::kind::Object;
      take();
      skip();
      while (peek() != '}') {
        skip();
        const std::string Name = text();
        skip();
        take(); // the colon
        Value.Object[Name] = value();
        skip();
        if (peek() == ',') {
          take();
        }
        skip();
      }
      take();
    } else if (Char == '[') {
      Value.Kind = json::kind::List;
      take();
      skip();
      while (peek() != ']') {
        Value.List.push_back(value());
        skip();
        if (peek() == ',') {
          take();
        }
        skip();
      }
      take();
    } else if (Char == '"') {
      Value.Kind = json::kind::Text;
      Value.Text = text();
    } else if (Char == 't' || Char == 'f') {
      Value.Kind = json::kind::Bool;
      Value.Bool = Char == 't';
      Rest.remove_prefix(Char == 't' ? 4 : 5);
    } else if (Char == 'n') {
      Rest.remove_prefix(4);
    } else {
      Value.Kind = json::kind::Number;
      std::string Number;
      while (!Rest.empty() && std::strchr("+-.eE0123456789", Rest[0])) {
        Number += Rest[0];
        Rest.remove_prefix(1);
      }
      if (Number.empty()) {
        throw std::runtime_error("not JSON");
      }
      Value.Number = std::atoll(Number.c_str());
    }
    return Value;
  }

private:
  char peek() const {
    if (Rest.empty()) {
      throw std::runtime_error("JSON ends too soon");
    }
    return Rest[0];
  }
  char take() {
    const char Char = peek();
    Rest.remove_prefix(1);
    return Char;
  }
  void skip() {
    while (!Rest.empty() && std::isspace(static_cast<unsigned char>(Rest[0]))) {
      Rest.remove_prefix(1);
    }
  }
  std::string text() {
    std::string Text;
    if (take() != '"') {
      throw std::runtime_error("not a text");
    }
    for (char Char = take(); Char != '"'; Char = take()) {
      if (Char != '\\') {
        Text += Char;
        continue;
      }
      const char Escaped = take();
      if (Escaped == 'u') {
        const long Unit =
            std::strtol(std::string(Rest.substr(0, 4)).c_str(), nullptr, 16);
        Rest.remove_prefix(4);
        Text += Unit < 128 ? static_cast<char>(Unit) : '?';
      } else {
        Text += Escaped == 'n' ? '\n' : Escaped == 't' ? '\t' : Escaped;
      }
    }
    return Text;
  }
  std::string_view Rest;
};
} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Began)
      .count();
}

void sleepMs(std::int64_t Time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

void openRecord(const std::string &Path) {
  Record = std::fopen(Path.c_str(), "w");
  if (Record == nullptr) {
    std::perror(Path.c_str());
    std::exit(2);
  }
}

void record(const std::string &Line) {
  const std::lock_guard Lock(RecordMutex);
  std::fprintf(Record, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000,
               Line.c_str());
  std::fflush(Record);
}

const json &json::at(const std::string &Name) const {
  static const json None;
  const auto Found = Object.find(Name);
  return Found == Object.end() ? None : Found->second;
}

json parseJson(std::string_view Text) { return parser(Text).value(); }

std::string quoteJson(std::string_view Text) {
  std::string Quoted = "\"";
  for (const char Char : Text) {
    if (Char == '"' || Char == '\\') {
      Quoted += '\\';
    }
    Quoted += Char;
  }
  return Quoted + "\"";
}

std::string http_request::query(const std::string &Name) const {
  std::string Rest = Target.find('?') == std::string::npos
                         ? ""
                         : Target.substr(Target.find('?') + 1);
  while (!Rest.empty()) {
    const std::string Part = Rest.substr(0, Rest.find('&'));
    Rest.erase(0, Part.size() + 1);
    if (Part.starts_with(Name + "=")) {
      return unescape(Part.substr(Name.size() + 1));
    }
  }
  return "";
}

http_server::http_server(const std::string &Ip, int Port, handler Handler)
    : Ip(Ip), Handler(std::move(Handler)) {
  const int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = addressOf(Ip, Port);
  socklen_t Size = sizeof(Address);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      listen(Listener, 1024) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Size);
  this->Port = ntohs(Address.sin_port);
  std::thread([this, Listener] {
    while (true) {
      const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket >= 0) {
        std::thread([this, Socket] { serve(Socket); }).detach();
      }
    }
  }).detach();
}

void http_server::serve(int Socket) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  std::string Buffer;
  std::string FirstLine;
  http_request Request;
  while (readMessage(Socket, Buffer, FirstLine, Request.Headers, Request.Body,
                     -1)) {
    const std::size_t Space = FirstLine.find(' ');
    Request.Method = FirstLine.substr(0, Space);
    Request.Target =
        FirstLine.substr(Space + 1, FirstLine.rfind(' ') - Space - 1);
    http_answer Answer;
    try {
      Answer = Handler(Request);
    } catch (const std::exception &Failure) {
      record("a stand-in can't read a request: " + std::string(Failure.what()));
      Answer = {400, "{}", {}};
    }
    if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Answer.Status) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(Answer.Body.size()) + "\r\n\r\n" +
                             Answer.Body)) {
      break;
    }
  }
  close(Socket);
}

http_answer call(const std::string &Address, const std::string &Method,
                 const std::string &Target, const std::string &Body,
                 const std::vector<std::string> &Headers, int TimeoutMs) {
  const std::int64_t Until = nowMs() + TimeoutMs;
  const std::size_t Colon = Address.find(':');
  const sockaddr_in To = addressOf(Address.substr(0, Colon),
                                   std::atoi(Address.c_str() + Colon + 1));
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  http_answer Answer;
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const std::string &Line : Headers) {
    Text += Line + "\r\n";
  }
  if (!Body.empty()) {
    Text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(Body.size()) + "\r\n";
  }
  Text += "\r\n" + Body;
  std::string Buffer;
  std::string FirstLine;
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) ==
          0 &&
      sendAll(Socket, Text) &&
      readMessage(Socket, Buffer, FirstLine, Answer.Headers, Answer.Body,
                  Until)) {
    Answer.Status = std::atoi(FirstLine.substr(9, 3).c_str());
  }
  close(Socket);
  return Answer;
}

int freePort(const std::string &Ip) {
  for (int Try = 0; Try < 50; ++Try) {
    const int Tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int Udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = addressOf(Ip, 0);
    socklen_t Size = sizeof(Address);
    bool IsFree = bind(Tcp, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
    getsockname(Tcp, reinterpret_cast<sockaddr *>(&Address), &Size);
    IsFree =
        IsFree && bind(Udp, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
    close(Tcp);
    close(Udp);
    if (IsFree) {
      return ntohs(Address.sin_port);
    }
  }
  std::fprintf(stderr, "no free port\n");
  std::exit(2);
}

// The store.

store::store(const std::string &Ip) {
  Server = std::make_unique<http_server>(
      Ip, 0, [this](const http_request &Request) { return answer(Request); });
  std::thread([this] {
    while (true) {
      sleepMs(20);
      endLeases();
    }
  }).detach();
}

void store::set(const std::string &Key, const std::string &Value,
                std::uint64_t Lease) {
  item &Item = Items[Key];
  Item.Value = Value;
  Item.Revision = Revision;
  Item.Created = Item.Created == 0 ? Revision : Item.Created;
  Item.Lease = Lease;
  History.push_back({Revision, Key, Value, Item.Created, Lease, false});
}

void store::remove(const std::string &Key) {
  if (Items.erase(Key) > 0) {
    History.push_back({Revision, Key, "", 0, 0, true});
  }
}

void store::write(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(Mutex);
  ++Revision;
  set(Key, Value, 0);
  Changed.notify_all();
}

std::size_t store::count(const std::string &Prefix) {
  const std::lock_guard Lock(Mutex);
  std::size_t Count = 0;
  for (const auto &[Key, Item] : Items) {
    Count += Key.starts_with(Prefix) ? 1 : 0;
  }
  return Count;
}

void store::endLease(std::uint64_t Id) {
  Leases.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : Items) {
    if (Item.Lease == Id) {
      Keys.push_back(Key);
    }
  }
  if (!Keys.empty()) {
    ++Revision;
    for (const std::string &Key : Keys) {
      remove(Key);
    }
    Changed.notify_all();
  }
}

void store::endLeases() {
  const std::lock_guard Lock(Mutex);
  std::vector<std::uint64_t> Over;
  for (const auto &[Id, Lease] : Leases) {
    if (Lease.EndsAt <= nowMs()) {
      Over.push_back(Id);
    }
  }
  for (const std::uint64_t Id : Over) {
    endLease(Id);
  }
}

http_answer store::answer(const http_request &Request) {
  const std::string Path = Request.path();
  if (Path == "/-/kv-range") {
    return range(Request);
  }
  if (Path == "/-/kv-watch") {
    return watch(Request);
  }
  if (Path == "/-/kv-txn") {
    return transact(Request);
  }
  const std::lock_guard Lock(Mutex);
  if (Path == "/-/kv-lease") {
    const std::int64_t Ttl = std::max<std::int64_t>(
        1000, parseJson(Request.Body).at("ttlMs").Number);
    Leases[++LastLease] = {Ttl, nowMs() + Ttl};
    return {200,
            "{\"lease\":" + std::to_string(LastLease) +
                ",\"ttlMs\":" + std::to_string(Ttl) + "}",
            {}};
  }
  const std::uint64_t Id = static_cast<std::uint64_t>(
      std::atoll(Path.substr(Path.rfind('/') + 1).c_str()));
  const auto Found = Leases.find(Id);
  if (Found == Leases.end()) {
    return {404, "{}", {}};
  }
  if (Path.starts_with("/-/kv-keep/")) {
    Found->second.EndsAt = nowMs() + Found->second.TtlMs;
  } else {
    endLease(Id);
  }
  return {200, "{}", {}};
}

http_answer store::range(const http_request &Request) {
  const std::lock_guard Lock(Mutex);
  const std::string Prefix = Request.query("prefix");
  const std::string After = Request.query("after");
  std::string Text;
  for (const auto &[Key, Item] : Items) {
    if (Key.starts_with(Prefix) && (After.empty() || Key > After)) {
      Text += (Text.empty() ? "" : ",") + std::string("{\"key\":") +
              quoteJson(Key) + ",\"value\":\"" + encodeBase64(Item.Value) +
              "\",\"revision\":" + std::to_string(Item.Revision) +
              ",\"created\":" + std::to_string(Item.Created) +
              ",\"lease\":" + std::to_string(Item.Lease) + "}";
    }
  }
  return {200,
          "{\"items\":[" + Text +
              "],\"truncated\":false,\"at\":" + std::to_string(Revision) + "}",
          {}};
}

http_answer store::watch(const http_request &Request) {
  const std::string Prefix = Request.query("prefix");
  const auto After =
      static_cast<std::uint64_t>(std::atoll(Request.query("after").c_str()));
  const std::int64_t Until =
      nowMs() + std::atoll(Request.query("waitMs").c_str());
  std::unique_lock Lock(Mutex);
  while (true) {
    std::string Text;
    for (const change &Change : History) {
      if (Change.Revision <= After || !Change.Key.starts_with(Prefix)) {
        continue;
      }
      Text += Text.empty() ? "" : ",";
      Text += "{\"key\":" + quoteJson(Change.Key) +
              ",\"revision\":" + std::to_string(Change.Revision);
      if (Change.IsRemoved) {
        Text += ",\"removed\":true}";
      } else {
        Text += ",\"value\":\"" + encodeBase64(Change.Value) +
                "\",\"created\":" + std::to_string(Change.Created) +
                ",\"lease\":" + std::to_string(Change.Lease) + "}";
      }
    }
    if (!Text.empty() || nowMs() >= Until) {
      return {200,
              "{\"events\":[" + Text + "],\"at\":" + std::to_string(Revision) +
                  "}",
              {}};
    }
    Changed.wait_for(Lock, std::chrono::milliseconds(Until - nowMs()));
  }
}

http_answer store::transact(const http_request &Request) {
  const json Body = parseJson(Request.Body);
  const std::lock_guard Lock(Mutex);
  for (const json &Row : Body.at("precondition").List) {
    const auto Found = Items.find(Row.at("key").Text);
    const std::int64_t Current =
        Found == Items.end()
            ? 0
            : static_cast<std::int64_t>(Found->second.Revision);
    if (Current != Row.at("revision").Number) {
      return {412, "{\"items\":[]}", {}};
    }
  }
  for (const json &Row : Body.at("setKeys").List) {
    const auto Lease = static_cast<std::uint64_t>(Row.at("lease").Number);
    if (Lease != 0 && !Leases.contains(Lease)) {
      return {404, "{}", {}};
    }
  }
  ++Revision;
  for (const json &Row : Body.at("setKeys").List) {
    set(Row.at("key").Text, decodeBase64(Row.at("value").Text),
        static_cast<std::uint64_t>(Row.at("lease").Number));
  }
  for (const json &Row : Body.at("deleteKeys").List) {
    remove(Row.Text);
  }
  Changed.notify_all();
  return {200, "{\"revision\":" + std::to_string(Revision) + "}", {}};
}

// Workers.

void run_log::add(run_event Event) {
  record("worker " + Event.Worker + ": " + Event.What + " " + Event.Task +
         " run " + std::to_string(Event.Run));
  const std::lock_guard Lock(Mutex);
  Events.push_back(std::move(Event));
}

std::vector<run_event> run_log::all() {
  const std::lock_guard Lock(Mutex);
  return Events;
}

namespace {
constexpr std::int64_t HoldMaxMs = 1'000;
constexpr std::int64_t BeatMs = 1'500;
} // namespace

worker::worker(const std::string &Ip, std::string Id, std::string Zone,
               store &Store, run_log &Log)
    : Id(std::move(Id)), Zone(std::move(Zone)), Store(Store), Log(Log) {
  Born = std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count();
  Server = std::make_unique<http_server>(
      Ip, 0, [this](const http_request &Request) { return answer(Request); });
  report();
  std::thread([this] {
    std::int64_t ReportAt = nowMs() + BeatMs;
    while (true) {
      sleepMs(2);
      tick();
      if (nowMs() >= ReportAt) {
        ReportAt += BeatMs;
        report();
      }
    }
  }).detach();
}

void worker::report() {
  std::string Value;
  {
    const std::lock_guard Lock(Mutex);
    Value = "{\"service\":\"desk\",\"address\":\"" + Server->address() +
            "\",\"zone\":\"" + Zone +
            "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            "\"coldMs\":0,\"sequence\":" +
            std::to_string(++Sequence) +
            ",\"capacity\":{\"cpu\":32000,\"memMb\":65536,\"gpu\":0},"
            "\"labels\":[\"a\",\"r0\"],\"clockMs\":" +
            std::to_string(clock()) + ",\"born\":" + std::to_string(Born) + "}";
  }
  Store.write("servers/" + Id, Value);
}

http_answer worker::refuse(const std::string &Reason) {
  return {409,
          "{\"clockMs\":" + std::to_string(clock()) + ",\"reason\":\"" +
              Reason + "\"}",
          {}};
}

void worker::extendLease(const json &Body) {
  if (Body.has("deadlineMs")) {
    LeaseEnd = std::max(
        LeaseEnd, std::min(Body.at("deadlineMs").Number, clock() + HoldMaxMs));
  }
}

void worker::endTask(const std::string &Task, const std::string &How) {
  const auto Found = Running.find(Task);
  const std::int64_t Run = Found->second.Run;
  Running.erase(Found);
  LastRun[Task] = std::max(LastRun[Task], Run);
  Ends.push_back({++LastNumber, Task, Run, How});
  Log.add({nowMs(), Id, Task, Run, How});
  Ended.notify_all();
}

void worker::tick() {
  const std::lock_guard Lock(Mutex);
  const bool IsLeaseOver = clock() >= LeaseEnd;
  std::vector<std::pair<std::string, std::string>> Over;
  for (const auto &[Task, Run] : Running) {
    if (Run.EndsAt <= nowMs()) {
      Over.emplace_back(Task, "done");
    } else if (IsLeaseOver) {
      Over.emplace_back(Task, "lapsed");
    }
  }
  for (const auto &[Task, How] : Over) {
    endTask(Task, How);
  }
}

http_answer worker::answer(const http_request &Request) {
  const auto Expected = Request.Headers.find("expected-instance");
  if (Expected != Request.Headers.end() && Expected->second != Id) {
    return {421, "{}", {}};
  }
  json Body;
  try {
    Body = parseJson(Request.Body);
  } catch (const std::exception &) {
    return {400, "{}", {}};
  }
  std::unique_lock Lock(Mutex);
  if (Body.at("fencingToken").Number < HighestToken) {
    return refuse("fence");
  }
  HighestToken = Body.at("fencingToken").Number;
  const std::string Path = Request.path();
  if (Path == "/-/run-start") {
    return start(Body);
  }
  if (Path == "/-/run-stop") {
    return stop(Body);
  }
  return Path == "/-/hold" ? hold(Body, Lock) : http_answer{404, "{}", {}};
}

http_answer worker::start(const json &Body) {
  const std::string Task = Body.at("task").Text;
  const std::int64_t Run = Body.at("run").Number;
  extendLease(Body);
  const std::string Ok = "{\"clockMs\":" + std::to_string(clock()) + "}";
  const auto Found = Running.find(Task);
  if (Found != Running.end() && Found->second.Run == Run) {
    return {200, Ok, {}};
  }
  const auto Last = LastRun.find(Task);
  if (Found != Running.end() ||
      (Last != LastRun.end() && Run <= Last->second)) {
    return refuse("old");
  }
  if (Body.at("deadlineMs").Number <= clock()) {
    return refuse("late");
  }
  const std::string &Text = Body.at("specification").Text;
  const std::int64_t Time =
      Text.starts_with("run ") ? std::atoll(Text.c_str() + 4) : 50;
  Running[Task] = {Run, nowMs() + Time};
  Log.add({nowMs(), Id, Task, Run, "start"});
  return {200, Ok, {}};
}

http_answer worker::stop(const json &Body) {
  const std::string Task = Body.at("task").Text;
  const std::int64_t Run = Body.at("run").Number;
  const auto Found = Running.find(Task);
  if (Found != Running.end() && Found->second.Run == Run) {
    endTask(Task, "stopped");
  } else {
    LastRun[Task] = std::max(LastRun[Task], Run);
  }
  return {200, "{\"clockMs\":" + std::to_string(clock()) + "}", {}};
}

http_answer worker::hold(const json &Body, std::unique_lock<std::mutex> &Lock) {
  const std::int64_t Token = Body.at("fencingToken").Number;
  const std::int64_t LastSeen = Body.at("lastSeen").Number;
  extendLease(Body);
  std::erase_if(Ends, [&](const ended &End) { return End.Number <= LastSeen; });
  const std::int64_t Until =
      nowMs() + std::min<std::int64_t>(2'000, Body.at("waitMs").Number);
  while (Ends.empty() && nowMs() < Until) {
    Ended.wait_for(Lock, std::chrono::milliseconds(Until - nowMs()));
  }
  if (Token < HighestToken) {
    return refuse("fence");
  }
  std::string RunningText;
  for (const auto &[Task, Run] : Running) {
    RunningText += (RunningText.empty() ? "" : ",") + std::string("[\"") +
                   Task + "\"," + std::to_string(Run.Run) + ",\"\",0,14000]";
  }
  std::string EndedText;
  for (const ended &End : Ends) {
    EndedText += (EndedText.empty() ? "" : ",") + std::string("[") +
                 std::to_string(End.Number) + ",\"" + End.Task + "\"," +
                 std::to_string(End.Run) + ",\"" + End.How + "\",\"\"]";
  }
  return {200,
          "{\"clockMs\":" + std::to_string(clock()) +
              ",\"born\":" + std::to_string(Born) + ",\"running\":[" +
              RunningText + "],\"ended\":[" + EndedText + "]}",
          {}};
}

// Machines of the system.

host::host(std::string Name, std::string Zone, std::string Ip, int PeerPort,
           const store &Store, const std::string &Folder)
    : Name(std::move(Name)) {
  Front = Ip + ":" + std::to_string(freePort(Ip));
  Ready = Ip + ":" + std::to_string(freePort(Ip));
  Control = Ip + ":" + std::to_string(freePort(Ip));
  Settings = Folder + "/" + this->Name + ".conf";
  Log = Folder + "/" + this->Name + ".log";
  std::ofstream(Settings)
      << "nodeName=" << this->Name << "\nrole=pool\nmachineClass=front\n"
      << "serves=front,control\nipAddress=" << Ip << "\nzone=" << Zone
      << "\nregion=mu-island\nlistenAddresses.front=" << Front
      << "\nlistenAddresses.ready=" << Ready
      << "\nlistenAddresses.control=" << Control
      << "\ninternalPortRange=" << PeerPort << "," << PeerPort + 15
      << "\nbootstrap=true\nlimits.cpuShare=0.25\nlimits.cores=1\n"
      << "limits.memoryMb=260\nlimits.fileDescriptors=4100\n"
      << "heartbeatMs=1500\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\n"
      << "bounds.graceS=6\nbounds.holdMaxMs=1000\nbounds.stopMs=50\n"
      << "bounds.cancel_ms=3000\nbounds.resendMs=1300\norders=invocation\n"
      << "platform.address=" << Store.address() << "\nplatform.form=kv\n";
}

host::~host() { end(); }

void host::launch() {
  Pid = fork();
  if (Pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); // it doesn't outlive the case
    setenv("TARRAGONBRIDGE_BOOT", Settings.c_str(), 1);
    const int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(File, STDOUT_FILENO);
    dup2(File, STDERR_FILENO);
    const char *Program = "target/bin/tarragonbridge-pool";
    execl(Program, Program, static_cast<char *>(nullptr));
    _exit(127);
  }
}

void host::signal(int Number) {
  if (Pid > 0) {
    kill(Pid, Number);
  }
}

void host::end() {
  if (Pid > 0) {
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = 0;
  }
}

bool host::isReady() const {
  return call(Ready, "GET", "/-/readiness", "", {"Host: ready"}, 500).Status ==
         200;
}

bool host::isRunning() const {
  return Pid > 0 && waitpid(Pid, nullptr, WNOHANG) == 0;
}

std::int64_t host::metric(const std::string &Wanted) const {
  const std::string Text =
      "\n" + call(Control, "GET", "/metrics", "", {"Host: control"}, 500).Body;
  const std::string Line = "\ntarragonbridge_" + Wanted + " ";
  const std::size_t At = Text.find(Line);
  return At == std::string::npos ? -1
                                 : std::atoll(Text.c_str() + At + Line.size());
}

std::string configuration(std::int64_t Version, const std::string &Route) {
  return "{\"version\":" + std::to_string(Version) +
         ",\"routes\":[{\"name\":\"" + Route +
         "\",\"host\":\"desk.example\",\"prefix\":\"/" + Route +
         "/\",\"service\":\"desk\",\"kind\":\"unsafe\",\"timeoutMs\":30000,"
         "\"targetDurationMs\":60,\"maxAttempts\":2,\"priority\":0,"
         "\"stretch\":1.6}],\"services\":[{\"name\":\"desk\","
         "\"admissionCheck\":false,\"connectionLimit\":64}],\"limits\":{}}";
}

} // namespace standin
