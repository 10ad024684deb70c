/// HTTP/1.1 for the stand-ins: a server with a thread for each connection, and
/// a client with one connection for each request.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace standin {

struct http_message {
  std::string Method;
  std::string Path; ///< without the query
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; ///< names in lower case
  std::string Body;
};

struct http_reply {
  int Status = 200; ///< 0: the channel ends without an answer
  std::string Body = "{}";
};

/// Serves on a port of 127.0.0.1.
class http_server {
public:
  using handler = std::function<http_reply(const http_message &)>;
  explicit http_server(handler Handler) : Handler(std::move(Handler)) {}
  ~http_server() { stop(); }

  /// @param[in] Port 0: a free one
  bool start(int Port);
  /// Closes the listener and resets all connections.
  void stop();
  int port() const { return Port; }

private:
  void accept(int Listener);
  void serve(int Fd);

  handler Handler;
  int Port = 0;
  int Listener = -1;
  std::thread Acceptor;
  std::mutex Mutex;
  std::set<int> Connections;
};

/// A request whose response may be awaited, or abandoned by closing.
class http_call {
public:
  /// Connects and sends the request.
  http_call(int Port, const std::string &Method, const std::string &Path,
            const std::map<std::string, std::string> &Headers,
            const std::string &Body);
  ~http_call() { close(); }
  http_call(const http_call &) = delete;
  http_call &operator=(const http_call &) = delete;

  /// @returns the status, 0 if the time is over or the channel broke
  int await(int TimeoutMs, std::string *Body = nullptr);
  void close();

private:
  int Fd = -1;
};

/// Sends a request and awaits its response.
int request(int Port, const std::string &Method, const std::string &Path,
            const std::string &Body, int TimeoutMs,
            std::string *ResponseBody = nullptr,
            const std::map<std::string, std::string> &Headers = {});

/// @returns a port of 127.0.0.1 that is free for TCP and UDP, another one with
/// each call
int freePort();

} // namespace standin
