/// Embeds one coordination part: answers kept for idempotent retries, within
/// bounds.
#include "tarragonbridge/answer_cache.h"

#include <iostream>

using namespace tarragonbridge;

int main() {
  answer_cache Cache({1'000, std::chrono::minutes(15)});
  const boot_time Now(std::chrono::hours(1));
  constexpr std::uint64_t Digest = 42; // of the request's body
  Cache.keep("order-7", Digest, R"({"state":"complete"})", Now);

  const auto Kept = Cache.find("order-7"); // a retry arrives
  if (!Kept || Kept->Digest != Digest || Kept->Body == nullptr) {
    return 1;
  }
  std::cout << *Kept->Body << '\n';
  return 0;
}
