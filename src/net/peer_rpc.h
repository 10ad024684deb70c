/// JSON-RPC 2.0 by libjsonrpccpp, apart from any connection.
///
/// @remarks The library's headers need C++14, so this one names none of its
/// types.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace tarragonbridge {

enum class rpc_type : unsigned char { Text, Number, Boolean, List };

struct rpc_parameter {
  std::string Name;
  rpc_type Type;
};

/// A method with parameters by name.
struct rpc_method {
  std::string Name;
  std::vector<rpc_parameter> Parameters;
};

/// A call as read by the server.
struct rpc_call {
  std::string Method;     ///< empty when the call is refused
  std::string ErrorReply; ///< reply to a refused call
};

/// Server side: checks calls and writes their replies. Thread-safe.
class rpc_server {
public:
  explicit rpc_server(const std::vector<rpc_method> &Methods);
  ~rpc_server();
  rpc_server(const rpc_server &) = delete;
  rpc_server &operator=(const rpc_server &) = delete;

  /// Checks the form of a call, its method and the types of its parameters.
  rpc_call read(const std::string &Request);

  /// @param[in] Request a call that read accepted
  /// @param[in] Result JSON text
  /// @returns the reply
  std::string answer(const std::string &Request, const std::string &Result);

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

/// @param[in] Method name
/// @param[in] Parameters JSON text of an object
/// @returns the text of a call
std::string writeRpcCall(const std::string &Method,
                         const std::string &Parameters);

/// Reads the reply to a call.
///
/// @param[in] Reply text of the reply
/// @param[out] Result JSON text of the result
/// @param[out] Error what was wrong
/// @returns whether the reply holds a result
bool readRpcReply(const std::string &Reply, std::string &Result,
                  std::string &Error);

} // namespace tarragonbridge
