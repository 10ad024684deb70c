/// The thread that owns the dispatcher: takes events, carries out effects.
#pragma once

#include "base/thread.h"
#include "tarragonbridge/dispatcher.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace tarragonbridge {

class event_loop {
public:
  /// Carries out one effect; called on the loop's thread, must not block.
  using effect_handler = std::function<void(effect &&)>;

  event_loop(dispatcher Dispatcher, effect_handler Handler);
  ~event_loop() { stop(); }
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Ends the loop; events posted later are dropped.
  void stop();

  /// Hands over an event, from any thread.
  void post(event Event);

  /// @returns the figures after the latest event
  dispatcher_figures currentFigures() const;

private:
  void run();
  /// Waits for events or the next timer. @returns false when the loop is to end
  bool waitForWork(std::deque<event> &Batch);

  dispatcher Dispatcher;
  effect_handler Handler;
  mutable std::mutex Mutex;
  std::condition_variable Ready;
  std::deque<event> Queue;    ///< guarded by Mutex
  dispatcher_figures Figures; ///< guarded by Mutex
  bool Stopping = false;      ///< guarded by Mutex
  posix_thread Thread;
};

} // namespace tarragonbridge
