#include "base/thread.h"

#include <system_error>
#include <utility>

namespace tarragonbridge {

namespace {
void *runBody(void *Argument) {
  const std::unique_ptr<std::function<void()>> Body(
      static_cast<std::function<void()> *>(Argument));
  (*Body)();
  return nullptr;
}
} // namespace

posix_thread::posix_thread(const std::string &Name,
                           std::function<void()> Body) {
  auto Argument = std::make_unique<std::function<void()>>(std::move(Body));
  const int Failure = pthread_create(&Handle, nullptr, runBody, Argument.get());
  if (Failure != 0) {
    throw std::system_error(Failure, std::generic_category(), "pthread_create");
  }
  (void)Argument.release(); // runBody owns it
  Joinable = true;
  pthread_setname_np(Handle, Name.c_str());
}

posix_thread::posix_thread(posix_thread &&Other) noexcept
    : Handle(Other.Handle), Joinable(std::exchange(Other.Joinable, false)) {}

posix_thread &posix_thread::operator=(posix_thread &&Other) noexcept {
  if (this != &Other) {
    join();
    Handle = Other.Handle;
    Joinable = std::exchange(Other.Joinable, false);
  }
  return *this;
}

void posix_thread::join() {
  if (Joinable) {
    pthread_join(Handle, nullptr);
    Joinable = false;
  }
}

} // namespace tarragonbridge
