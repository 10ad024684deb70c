/// What the connections of a crowd send: requests that cost a server memory.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonbridge::crowd {

/// The bytes of one connection: a head, a unit that is repeated, and a tail.
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

  std::size_t size() const;
  /// @returns the head of one connection, whose job has an id of its own
  std::string headOf(std::size_t Connection) const;
  /// @param[in] OwnHead result of headOf()
  /// @returns the bytes from an offset, at most PieceBytes
  std::string piece(std::size_t Offset, const std::string &OwnHead) const;
};

/// @param[in] Path of a job; sixteen zeros in it are replaced by an id
/// @param[in] Host value of the Host header
/// @returns the form of a name, or nothing if there is none
std::optional<form> findForm(std::string_view Name, const std::string &Path,
                             const std::string &Host);

} // namespace tarragonbridge::crowd
