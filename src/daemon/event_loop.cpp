#include "daemon/event_loop.h"

#include "base/clock.h"

namespace tarragonbridge {

event_loop::event_loop(dispatcher Dispatcher, effect_handler Handler)
    : Dispatcher(std::move(Dispatcher)), Handler(std::move(Handler)) {
  Thread = posix_thread("event-loop", [this] { run(); });
}

void event_loop::stop() {
  {
    const std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Ready.notify_one();
  Thread.join();
}

void event_loop::post(event Event) {
  {
    const std::lock_guard Lock(Mutex);
    Queue.push_back(std::move(Event));
  }
  Ready.notify_one();
}

dispatcher_figures event_loop::currentFigures() const {
  const std::lock_guard Lock(Mutex);
  return Figures;
}

bool event_loop::waitForWork(std::deque<event> &Batch) {
  std::unique_lock Lock(Mutex);
  Figures = figures(*Dispatcher);
  const auto HasWork = [this] { return Stopping || !Queue.empty(); };
  if (const auto Due = nextTimer(*Dispatcher)) {
    Ready.wait_for(Lock, *Due - bootNow(), HasWork);
  } else {
    Ready.wait(Lock, HasWork);
  }
  Batch.swap(Queue);
  return !Stopping;
}

void event_loop::run() {
  std::deque<event> Batch;
  while (waitForWork(Batch)) {
    if (Batch.empty()) {
      Batch.emplace_back(timer_fired{});
    }
    for (const event &Event : Batch) {
      for (effect &Effect : reduce(*Dispatcher, Event, instantNow())) {
        Handler(std::move(Effect));
      }
    }
    Batch.clear();
  }
}

} // namespace tarragonbridge
