#include "tarragonbridge/answer_cache.h"

#include <xxhash.h>

namespace tarragonbridge {

answer_cache::key_hash answer_cache::hashOf(std::string_view Key) {
  const XXH128_hash_t Hash = XXH3_128bits(Key.data(), Key.size());
  return {Hash.low64, Hash.high64};
}

void answer_cache::keep(std::string_view Key, std::uint64_t Digest,
                        std::string Body, boot_time Now) {
  const key_hash Hash = hashOf(Key);
  const auto [At, IsNew] = Entries.try_emplace(Hash);
  if (!IsNew) {
    return;
  }
  Bytes += Body.size();
  At->second = {Digest, std::make_unique<std::string>(std::move(Body))};
  ByAge.push_back({Hash, Now + Init.Retention});
  dropOldestBodies();
}

std::optional<kept_answer> answer_cache::find(std::string_view Key) const {
  const auto Found = Entries.find(hashOf(Key));
  if (Found == Entries.end()) {
    return std::nullopt;
  }
  return kept_answer{Found->second.Digest, Found->second.Body.get()};
}

void answer_cache::forgetOld(boot_time Now) {
  while (!ByAge.empty() && ByAge.front().ForgetAt <= Now) {
    const auto Found = Entries.find(ByAge.front().Hash);
    dropBody(Found->second);
    Entries.erase(Found);
    ByAge.pop_front();
    BodilessCount -= BodilessCount == 0 ? 0 : 1;
  }
}

void answer_cache::dropBody(entry &Entry) {
  Bytes -= Entry.Body == nullptr ? 0 : Entry.Body->size();
  Entry.Body.reset();
}

void answer_cache::dropOldestBodies() {
  while (Bytes > Init.MaxBytes && BodilessCount < ByAge.size()) {
    dropBody(Entries.at(ByAge[BodilessCount].Hash));
    ++BodilessCount;
    ++Dropped;
  }
}

} // namespace tarragonbridge
