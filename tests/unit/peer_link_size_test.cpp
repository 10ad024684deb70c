/// What fits into one datagram of a link between hosts.
#include "core/pool/peer_link_p.h"
#include "tarragonbridge/pool/config.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace tarragonbridge;
using namespace tarragonbridge::pool;
using namespace std::chrono_literals;

namespace {
constexpr std::uint32_t TasksPerJob = 1'000;

std::vector<attempt_ref> attemptsOf(const std::string &Job,
                                    std::uint32_t Count) {
  std::vector<attempt_ref> Attempts;
  for (std::uint32_t Task = 0; Task < Count; ++Task) {
    Attempts.push_back({Job, 1, Task, 12});
  }
  return Attempts;
}

task_offer offerOf(std::uint32_t Tasks, char SpecificationText) {
  constexpr std::size_t SpecificationBytes = 4'000;
  task_offer Offer{"5c0e7a21d94b36f8",
                   "ekslibris-desk",
                   1,
                   std::string(SpecificationBytes, SpecificationText),
                   {}};
  for (std::uint32_t Task = 0; Task < Tasks; ++Task) {
    Offer.Tasks.push_back({1,
                           Task,
                           12,
                           {16'000, 65'536, 0},
                           10s,
                           60s,
                           60s,
                           true,
                           "i-7accbfb302",
                           true});
  }
  return Offer;
}

struct message_case {
  std::string Name;
  peer_message Message;
};

std::vector<message_case> largeMessages() {
  constexpr char EscapedSixfold = '\x01';
  const auto Attempts = attemptsOf("5c0e7a21d94b36f8", TasksPerJob);
  const auto FewOfLongId = attemptsOf(std::string(2'000, 'j'), 20);
  return {
      {"refusals", offer_refused{Attempts, 1s}},
      {"reassignments", attempts_reassigned{Attempts, 1U << 31U}},
      {"cancellations", tasks_cancelled{Attempts}},
      {"refusals of long ids", offer_refused{FewOfLongId, 1s}},
      {"cancellations of long ids", tasks_cancelled{FewOfLongId}},
      {"cancellations of jobs", tasks_cancelled{{}, {200, "5c0e7a21d94b36f8"}}},
      {"outcomes", task_ended{{std::string(2'000, 'j'), 1, 1, 12},
                              attempt_outcome::Done,
                              "i-7accbfb302",
                              1s}},
      {"small offers", offerOf(2, EscapedSixfold)},
      {"large offers", offerOf(TasksPerJob, EscapedSixfold)}};
}

/// Lets both sides of a link know each other's epoch.
void connect(peer_link &A, peer_link &B) {
  for (int Round = 0; Round < 2; ++Round) {
    datagram FromA;
    A.fill(FromA, boot_time{1s});
    B.beginSession(FromA);
    datagram FromB;
    B.fill(FromB, boot_time{1s});
    A.beginSession(FromB);
  }
}

std::size_t taskCount(const peer_message &Message) {
  const auto *Offer = std::get_if<task_offer>(&Message);
  return Offer == nullptr ? 0 : Offer->Tasks.size();
}
} // namespace

// Guards against a datagram that the network never carries, and that is
// repeated as it is until the session ends.
TEST_CASE("messages between hosts fit into datagrams", "[pool]") {
  const message_case Case = GENERATE(from_range(largeMessages()));
  constexpr std::size_t Count = 100;
  CAPTURE(Case.Name);
  const boot_time Start{1s};
  peer_link Sender(5);
  peer_link Receiver(7);
  connect(Sender, Receiver);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    REQUIRE(Sender.push(Case.Message, Start));
  }
  std::size_t Largest = 0;
  std::size_t Tasks = 0;
  while (Sender.isDue(Start)) {
    datagram Datagram;
    Sender.fill(Datagram, Start);
    Largest = std::max(Largest, encodeDatagram(Datagram, "").size());
    for (const auto &[Number, Message] : Datagram.Messages) {
      Tasks += taskCount(Message);
    }
  }
  CHECK(Largest <= config::MaxUdpPayloadBytes);
  CHECK(Tasks == Count * taskCount(Case.Message));
}

// Guards against contact that keeps the lease of an abandoned task and doesn't
// bring its cancellation, since older messages fill the datagram.
TEST_CASE("a cancellation goes with the next datagram before older messages",
          "[pool]") {
  constexpr std::size_t Count = 40;
  const boot_time Start{1s};
  peer_link Sender(5);
  peer_link Receiver(7);
  connect(Sender, Receiver);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    REQUIRE(Sender.push(offerOf(2, 'a'), Start));
  }
  REQUIRE(Sender.push(tasks_cancelled{{{"other", 0, 0, 1}}}, Start));
  const auto HasCancellation = [&](boot_time Now) {
    datagram Datagram;
    Sender.fill(Datagram, Now, true);
    CHECK(encodeDatagram(Datagram, "").size() <= config::MaxUdpPayloadBytes);
    return std::any_of(Datagram.Messages.begin(), Datagram.Messages.end(),
                       [](const datagram::numbered_message &Message) {
                         return std::holds_alternative<tasks_cancelled>(
                             Message.Message);
                       });
  };
  CHECK(HasCancellation(Start));
  CHECK(HasCancellation(Start + 1ms));   // not due for retransmission
  CHECK(HasCancellation(Start + 400ms)); // all are due
}

// Guards against contact with a coordinator that doesn't know the new owner of
// its tasks, and cancels them at the former one.
TEST_CASE("a reassignment goes with each datagram until it is acknowledged",
          "[pool]") {
  const boot_time Start{1s};
  peer_link Sender(5);
  peer_link Receiver(7);
  connect(Sender, Receiver);
  REQUIRE(Sender.push(attempts_reassigned{{{"j", 0, 0, 1}}, 8}, Start));
  const auto MessagesAt = [&](boot_time Now) {
    datagram Datagram;
    Sender.fill(Datagram, Now);
    return Datagram.Messages.size();
  };
  CHECK(MessagesAt(Start) == 1);
  CHECK(MessagesAt(Start + 1ms) == 1); // not due for retransmission
  datagram Ack;
  CHECK(Receiver.accept(1));
  Receiver.fill(Ack, Start + 2ms);
  Sender.acknowledge(Ack);
  CHECK(MessagesAt(Start + 3ms) == 0);
}
