/// The error that results carry.
#pragma once

#include "tarragonbridge/reason.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

namespace tarragonbridge {

template <class T> using result = boost::leaf::result<T>;

/// An error with the step and the peer at which it arose.
struct error {
  std::string Step;    ///< what was being done, such as "parse job"
  std::string Peer;    ///< address or name of the other side, empty if none
  reason Reason;       ///< code of the reason table
  std::string Message; ///< text for people; a line for each fault
};

/// Runs a function that returns a result, with its error in hand.
///
/// @param[in] Try function that returns result<T>
/// @param[in] Fail called with the error; returns what T converts to
template <class TryBlock, class FailBlock>
auto tryOr(TryBlock &&Try, FailBlock &&Fail) {
  return boost::leaf::try_handle_all(
      std::forward<TryBlock>(Try),
      [&](const error &Error) { return Fail(Error); },
      [&] {
        return Fail(
            error{"internal", "", reason::Malformed, "unexpected error"});
      });
}

} // namespace tarragonbridge
