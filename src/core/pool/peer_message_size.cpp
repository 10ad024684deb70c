#include "core/pool/peer_message_size_p.h"

#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <numeric>
#include <string_view>

namespace tarragonbridge::pool {

namespace {
constexpr std::size_t BaseBytes = 120;   ///< a message without its lists
constexpr std::size_t AttemptBytes = 40; ///< an attempt without its job's id
constexpr std::size_t TaskBytes = 90;    ///< an offered task, without texts

/// @returns the bytes of a character in a JSON string
std::size_t escapedSize(char Character) {
  constexpr char FirstPrintable = ' ';
  constexpr std::size_t UnicodeEscapeBytes = 6;
  constexpr std::size_t ShortEscapeBytes = 2;
  if (Character >= '\0' && Character < FirstPrintable) {
    return UnicodeEscapeBytes;
  }
  return Character == '"' || Character == '\\' ? ShortEscapeBytes : 1;
}

/// @returns the bytes of a text in a JSON string
std::size_t escapedSize(std::string_view Text) {
  return std::accumulate(Text.begin(), Text.end(), std::size_t{0},
                         [](std::size_t Sum, char Character) {
                           return Sum + escapedSize(Character);
                         });
}

std::size_t sizeOf(const attempt_ref &Attempt) {
  return AttemptBytes + escapedSize(Attempt.Job);
}

std::size_t sizeOf(const std::vector<attempt_ref> &Attempts) {
  return std::accumulate(Attempts.begin(), Attempts.end(), std::size_t{0},
                         [](std::size_t Sum, const attempt_ref &Attempt) {
                           return Sum + sizeOf(Attempt);
                         });
}

std::size_t sizeOf(const offered_task &Task) {
  return TaskBytes + escapedSize(Task.AvoidTarget);
}

/// @returns the size of an offer without its tasks
std::size_t headSize(const task_offer &Offer) {
  return BaseBytes + escapedSize(Offer.Job) + escapedSize(Offer.Service) +
         escapedSize(Offer.Specification);
}

std::size_t sizeOf(const task_offer &Offer) {
  return std::accumulate(Offer.Tasks.begin(), Offer.Tasks.end(),
                         headSize(Offer),
                         [](std::size_t Sum, const offered_task &Task) {
                           return Sum + sizeOf(Task);
                         });
}

std::size_t sizeOf(const offer_refused &Refused) {
  return BaseBytes + sizeOf(Refused.Attempts);
}

std::size_t sizeOf(const task_ended &Ended) {
  return BaseBytes + sizeOf(Ended.Attempt) + escapedSize(Ended.Target);
}

std::size_t sizeOf(const tasks_cancelled &Cancelled) {
  return std::accumulate(Cancelled.Jobs.begin(), Cancelled.Jobs.end(),
                         BaseBytes + sizeOf(Cancelled.Attempts),
                         [](std::size_t Sum, const std::string &Job) {
                           constexpr std::size_t QuotesAndComma = 3;
                           return Sum + escapedSize(Job) + QuotesAndComma;
                         });
}

std::size_t sizeOf(const attempts_reassigned &Reassigned) {
  return BaseBytes + sizeOf(Reassigned.Attempts);
}

std::size_t sizeOf(const jobs_resubmitted &Resubmitted) {
  constexpr std::size_t DigestBytes = 21; ///< the longest, with a comma
  return BaseBytes + DigestBytes * Resubmitted.Jobs.size();
}

std::size_t sizeOf(const target_handover &Handover) {
  std::size_t Sum = BaseBytes + escapedSize(Handover.Target);
  for (const handover_attempt &Transferred : Handover.Attempts) {
    Sum += TaskBytes + sizeOf(Transferred.Attempt) +
           escapedSize(Transferred.Coordinator.Name);
  }
  return Sum;
}

task_offer withoutTasks(const task_offer &Offer) {
  return {Offer.Job, Offer.Service, Offer.Priority, Offer.Specification, {}};
}
} // namespace

std::size_t estimatedSize(const peer_message &Message) {
  return std::visit([](const auto &Kind) { return sizeOf(Kind); }, Message);
}

std::vector<task_offer> splitOffer(task_offer Offer) {
  if (sizeOf(Offer) <= config::MaxDatagramBytes) {
    std::vector<task_offer> Whole;
    Whole.push_back(std::move(Offer));
    return Whole;
  }
  const std::size_t HeadSize = headSize(Offer);
  std::size_t Bytes = HeadSize;
  std::vector<task_offer> Parts{withoutTasks(Offer)};
  for (offered_task &Task : Offer.Tasks) {
    const std::size_t Size = sizeOf(Task);
    if (Bytes + Size > config::MaxDatagramBytes &&
        !Parts.back().Tasks.empty()) {
      Parts.push_back(withoutTasks(Offer));
      Bytes = HeadSize;
    }
    Bytes += Size;
    Parts.back().Tasks.push_back(std::move(Task));
  }
  return Parts;
}

} // namespace tarragonbridge::pool
