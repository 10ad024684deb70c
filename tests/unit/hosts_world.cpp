#include "hosts_world.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
constexpr std::size_t HostCount = 3;
constexpr std::size_t StrictHost = 2; ///< knows no team but its default
constexpr std::size_t KeysPerSession = 3;
const std::string Team = "agents";

std::string nameOf(std::size_t Host) { return "h" + std::to_string(Host); }

hosts_listed listHosts() {
  hosts_listed Event;
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    host_entry Entry;
    Entry.Name = nameOf(Host);
    Entry.Role = host_role::Entry;
    Entry.FailureDomain = "a";
    Entry.PeerAddress = nameOf(Host);
    Event.Hosts.push_back(Entry);
  }
  host_entry Target;
  Target.Name = "t";
  Target.FailureDomain = "a";
  Target.Slots = 100;
  Target.Connections = 100;
  Target.Capacity = {8, 1'000, 0};
  Event.Hosts.push_back(Target);
  return Event;
}

bool contains(const std::string &Text, std::string_view Part) {
  return Text.find(Part) != std::string::npos;
}

/// Takes an element out of a list.
template <class T> T takeAt(std::vector<T> &List, std::size_t Index) {
  T Element = std::move(List[Index]);
  List.erase(List.begin() + static_cast<std::ptrdiff_t>(Index));
  return Element;
}
} // namespace

hosts_world::hosts_world(std::uint64_t Seed, const claim_rules &Rules)
    : Random(Seed), Rules(Rules), Hosts(HostCount) {
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    restart(Host);
  }
}

void hosts_world::restart(std::size_t Host) {
  world_host &Process = Hosts[Host];
  ++Process.Incarnation;
  Process.Running.clear();
  const host_identity Self{"a", nameOf(Host), Process.Incarnation};
  Process.State = makeDispatcher({Self, "", Random(), Rules});
  if (Host != StrictHost) {
    settings_tree Settings = defaultSettings("a");
    Settings.Revision = 1;
    Settings.Teams[Team] = {};
    apply(Host, settings_loaded{Settings});
  }
  apply(Host, listHosts());
  Sessions.push_back(formatSession(Self, 1));
}

void hosts_world::apply(std::size_t Host, const event &Event) {
  for (effect &Effect : reduce(*Hosts[Host].State, Event, Now)) {
    take(Host, std::move(Effect));
  }
}

void hosts_world::send(std::size_t From, effect &&Effect,
                       const std::string &Address) {
  const std::uint64_t Handle = NextHandle++;
  const std::size_t To = Address.back() - '0';
  Calls[Handle] = {From, Hosts[From].Incarnation, To, std::move(Effect)};
  Arriving.push_back(Handle);
}

void hosts_world::take(std::size_t Host, effect &&Effect) {
  const auto AnswerCall = [&](request_handle Request, event &&Event) {
    const auto Handle = static_cast<std::uint64_t>(Request) & ~PeerHandleBit;
    Replies.emplace_back(Handle, std::move(Event));
  };
  const host_identity Self{"a", nameOf(Host), Hosts[Host].Incarnation};
  if (const auto *Start = std::get_if<start_task>(&Effect)) {
    noteStart(*Start);
    Hosts[Host].Running.push_back(*Start);
  } else if (const auto *Claims = std::get_if<send_claims>(&Effect)) {
    send(Host, effect(Effect), Claims->Address);
  } else if (const auto *Fetch = std::get_if<send_fetch>(&Effect)) {
    send(Host, effect(Effect), Fetch->Address);
  } else if (const auto *Claimed = std::get_if<answer_claims>(&Effect)) {
    AnswerCall(Claimed->Request, claims_answered{{}, Self, Claimed->Answers});
  } else if (const auto *Fetched = std::get_if<answer_fetch>(&Effect)) {
    AnswerCall(Fetched->Request, fetch_answered{0, Self, Fetched->Reply});
  } else if (const auto *Answer = std::get_if<answer_request>(&Effect)) {
    if (!isPeerRequest(Answer->Request)) {
      noteAnswer(*Answer);
      return;
    }
    const auto State =
        Answer->Final ? fetch_state::Ended : fetch_state::Running;
    AnswerCall(Answer->Request,
               fetch_answered{0, Self, {State, Answer->Status, Answer->Body}});
  }
}

void hosts_world::noteStart(const start_task &Start) {
  if (++Starts[Start.Id.Key] > 1) {
    Broken.push_back("started twice: " + Start.Id.Key);
  }
}

void hosts_world::noteAnswer(const answer_request &Answer) {
  const auto Found = Requests.find(static_cast<std::uint64_t>(Answer.Request));
  if (Found == Requests.end()) {
    Broken.push_back("answered twice: " + Answer.Body);
    return;
  }
  const world_request Request = std::move(Found->second);
  Requests.erase(Found);
  if (contains(Answer.Body, R"("not_run":true)") && Request.HadStarted) {
    Broken.push_back("told not run: " + Answer.Body);
  }
  if (!contains(Answer.Body, R"("state":"complete")")) {
    return;
  }
  ++Completed;
  std::set<std::string> &Known = Bodies[Request.Key];
  Known.insert(Answer.Body);
  if (Known.size() > 1) {
    Broken.push_back("two answers: " + Answer.Body);
  }
}

void hosts_world::submit() {
  // Sessions of the latest incarnations are used most.
  const std::size_t Age = std::min(pick(4), pick(Sessions.size()));
  const std::string &Session = Sessions[Sessions.size() - 1 - Age];
  job_request Job;
  Job.Key = Session + "." + std::to_string(pick(KeysPerSession));
  Job.Team = Team;
  Job.SubmittedAt = SubmittedAt.try_emplace(Job.Key, Now.Wall).first->second;
  Job.TimeLimit = milliseconds(60'000);
  Job.Tasks.resize(1, task_request{"null", std::nullopt, {}});
  Job.Digest = 1;
  const std::uint64_t Handle = NextHandle++;
  Requests[Handle] = {Job.Key, Starts[Job.Key] != 0};
  apply(pick(HostCount), job_submitted{request_handle{Handle}, Job, false});
}

void hosts_world::ask() {
  if (SubmittedAt.empty()) {
    return;
  }
  auto Key = SubmittedAt.begin();
  std::advance(Key, pick(SubmittedAt.size()));
  const std::uint64_t Handle = NextHandle++;
  Requests[Handle] = {Key->first, Starts[Key->first] != 0};
  const request_handle Request{Handle};
  constexpr std::size_t CancelOneIn = 8;
  if (pick(CancelOneIn) == 0) {
    apply(pick(HostCount), job_cancelled{Request, Key->first});
  } else {
    apply(pick(HostCount), job_queried{Request, Key->first, milliseconds(100)});
  }
}

void hosts_world::deliver() {
  if (Arriving.empty()) {
    return;
  }
  constexpr std::size_t RepeatOneIn = 6;
  const std::size_t Index = pick(Arriving.size());
  const std::uint64_t Handle = Arriving[Index];
  if (pick(RepeatOneIn) != 0) {
    takeAt(Arriving, Index);
  }
  const world_call &Call = Calls.at(Handle);
  const host_identity From{"a", nameOf(Call.From), Call.FromIncarnation};
  const request_handle Request{Handle | PeerHandleBit};
  const std::size_t To = Call.To;
  if (const auto *Claims = std::get_if<send_claims>(&Call.Sent)) {
    apply(To, claims_received{Request, {From, Claims->Home}, Claims->Asks});
  } else if (const auto *Fetch = std::get_if<send_fetch>(&Call.Sent)) {
    apply(To, fetch_received{Request, {From, Fetch->To}, Fetch->Ask});
  }
}

/// Ends a call at its sender without an answer; the call itself may still
/// arrive.
void hosts_world::lose() {
  if (Calls.empty()) {
    return;
  }
  auto Call = Calls.begin();
  std::advance(Call, pick(Calls.size()));
  if (std::holds_alternative<send_claims>(Call->second.Sent)) {
    Replies.emplace_back(Call->first, claims_answered{});
  } else {
    Replies.emplace_back(Call->first, fetch_answered{});
  }
}

/// Hands a reply to the process that sent the call, if it still waits for it.
void hosts_world::reply() {
  if (Replies.empty()) {
    return;
  }
  auto [Handle, Event] = takeAt(Replies, pick(Replies.size()));
  world_call &Call = Calls.at(Handle);
  if (Call.Ended || Hosts[Call.From].Incarnation != Call.FromIncarnation) {
    return;
  }
  Call.Ended = true;
  if (auto *Claims = std::get_if<claims_answered>(&Event)) {
    Claims->Home = std::get<send_claims>(Call.Sent).Home;
  } else if (auto *Fetch = std::get_if<fetch_answered>(&Event)) {
    Fetch->Call = std::get<send_fetch>(Call.Sent).Call;
  }
  apply(Call.From, Event);
}

void hosts_world::finishTask() {
  const std::size_t Host = pick(HostCount);
  std::vector<start_task> &Running = Hosts[Host].Running;
  if (Running.empty()) {
    return;
  }
  const start_task Task = takeAt(Running, pick(Running.size()));
  // Each run gives another output, so that two runs can't be taken for one.
  const std::string Output = std::to_string(Random());
  apply(Host, task_replied{Task.Target,
                           Task.Id,
                           {reply_kind::Done, reason::Count, Output, ""}});
}

/// Time passes for all; hosts that are paused fire their timers later.
void hosts_world::pass() {
  const milliseconds Time(pick(2'000));
  Now.Boot += Time;
  Now.Wall += Time;
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    if (pick(2) == 0) {
      apply(Host, timer_fired{});
    }
  }
}

void hosts_world::step() {
  constexpr std::size_t Choices = 100;
  const std::size_t Choice = pick(Choices);
  if (Choice < 20) {
    submit();
  } else if (Choice < 25) {
    ask();
  } else if (Choice < 50) {
    deliver();
  } else if (Choice < 75) {
    reply();
  } else if (Choice < 80) {
    lose();
  } else if (Choice < 92) {
    finishTask();
  } else if (Choice < 99) {
    pass();
  } else {
    restart(pick(HostCount));
  }
}

} // namespace tarragonbridge
