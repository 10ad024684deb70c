#include "tarragonbridge/answer_cache.h"

#include <catch2/catch.hpp>

using namespace tarragonbridge;

namespace {
constexpr boot_time Start(std::chrono::hours(1));
constexpr milliseconds Retention(1'000);
constexpr std::uint64_t Digest = 7;

std::string bodyOf(const answer_cache &Cache, std::string_view Key) {
  const auto Found = Cache.find(Key);
  if (!Found) {
    return "unknown";
  }
  return Found->Body == nullptr ? "dropped" : *Found->Body;
}
} // namespace

TEST_CASE("the oldest answers are dropped first, and their keys stay known") {
  answer_cache Cache({8, Retention});
  for (const char *Key : {"a", "b", "c"}) {
    Cache.keep(Key, Digest, "1234", Start);
  }
  CHECK(bodyOf(Cache, "a") == "dropped");
  CHECK(bodyOf(Cache, "b") == "1234");
  CHECK(bodyOf(Cache, "c") == "1234");
  CHECK(Cache.find("a")->Digest == Digest);
  CHECK(Cache.bytes() == 8);
  CHECK(Cache.dropped() == 1);
}

TEST_CASE("an answer larger than the bound is dropped at once") {
  answer_cache Cache({8, Retention});
  Cache.keep("a", Digest, "123456789", Start);
  CHECK(bodyOf(Cache, "a") == "dropped");
  CHECK(Cache.bytes() == 0);
}

TEST_CASE("jobs are forgotten after the retention period and not before") {
  answer_cache Cache({8, Retention});
  Cache.keep("a", Digest, "123456789", Start);
  Cache.keep("b", Digest, "12", Start + milliseconds(1));
  Cache.forgetOld(Start + Retention - microseconds(1));
  CHECK(Cache.size() == 2);
  Cache.forgetOld(Start + Retention);
  CHECK(bodyOf(Cache, "a") == "unknown");
  CHECK(bodyOf(Cache, "b") == "12");
  Cache.keep("c", Digest, "12345678", Start + Retention);
  CHECK(bodyOf(Cache, "b") == "dropped");
  CHECK(bodyOf(Cache, "c") == "12345678");
}

TEST_CASE("the first answer under a key stands") {
  answer_cache Cache({8, Retention});
  Cache.keep("a", Digest, "1", Start);
  Cache.keep("a", Digest + 1, "2", Start);
  CHECK(bodyOf(Cache, "a") == "1");
  CHECK(Cache.find("a")->Digest == Digest);
  CHECK(Cache.size() == 1);
}
