/// What the connections of a crowd send: requests that cost a server memory.
#pragma once

#include "tarragonbridge/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge::crowd {

/// The bytes of one connection: a head, a unit that is repeated, and a tail.
///
/// Sixteen zeros in the head or in a unit stand for a number that is another
/// one in each connection or unit.
struct form {
  std::string Name;
  std::string Head;
  std::string Unit;
  std::size_t Units = 0;
  std::string Tail;
  /// Sent at a time; then the other connections have their turn.
  std::size_t PieceBytes = 1U << 16U;
  /// Once all connections have sent so much, each goes on with a byte at a
  /// time; zero: they have sent all.
  std::size_t DripsFrom = 0;
  /// A connection that has sent all is closed and opened again.
  bool Reconnects = false;
  milliseconds Pause{0}; ///< after each piece

  std::size_t size() const;
  /// @returns a unit of one connection
  std::string unitOf(std::size_t Index, std::size_t Connection) const;
  /// @returns the bytes of a connection from an offset, at most PieceBytes
  std::string piece(std::size_t Offset, std::size_t Connection) const;
};

/// Where the requests of a form go.
struct request_target {
  std::string Path; ///< of a job
  std::string Host; ///< value of the Host header
  std::string Key;  ///< value of the Idempotency-Key header, may be empty
};

/// @returns the form of a name, or nothing if there is none
std::optional<form> findForm(std::string_view Name,
                             const request_target &Target);

/// @returns the form of a name whose units are datagrams, or nothing
std::optional<form> findDatagrams(std::string_view Name);

} // namespace tarragonbridge::crowd
