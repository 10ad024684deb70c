#include "claims_model.h"

#include <algorithm>

namespace tarragonbridge {

namespace {
const std::string Key = "s1.a.h.1.1.1";
const wall_time SubmittedAt =
    wall_time(std::chrono::hours(1)) + config::MaxClockSkew;

host_identity identityOf(std::size_t Host, std::uint64_t Incarnation) {
  return {"a", "h" + std::to_string(Host), Incarnation};
}

bool isRefusedByTime(const claims_model &Model) {
  return Model.Rules.RefuseOld &&
         checkSubmissionTime(SubmittedAt, Model.Now.Wall);
}

void start(claims_model &Model, std::size_t Host) {
  Model.Hosts[Host].HasRecord = true;
  ++Model.Starts;
}

void sendRelease(claims_model &Model, std::size_t Host) {
  model_host &Holder = Model.Hosts[Host];
  if (Host == 0 || isRefusedByTime(Model)) {
    return;
  }
  if (const auto Number = beginRelease(Holder.Asks, Key, Holder.HasRecord)) {
    Model.Network.push_back(
        {false, Host, Holder.Incarnation, 1, claim_mode::Release, *Number, {}});
  }
}

/// A caller submits at the home itself, in its first incarnation.
void submitAtHome(claims_model &Model) {
  const bool IsHome =
      Model.Hosts[0].Incarnation == 1 || !Model.Rules.CheckHomeIncarnation;
  if (IsHome && !Model.Home.Entries.contains(Key) && !isRefusedByTime(Model)) {
    start(Model, 0);
  }
}

void submit(claims_model &Model, std::size_t Host) {
  model_host &Holder = Model.Hosts[Host];
  if (Holder.HasRecord && Model.Rules.KeepOneRecord) {
    return;
  }
  if (Host == 0) {
    submitAtHome(Model);
    return;
  }
  if (!Holder.Asks.Pending.contains(Key)) {
    Model.Network.push_back({false,
                             Host,
                             Holder.Incarnation,
                             1,
                             claim_mode::Grant,
                             beginClaim(Holder.Asks, Key),
                             {}});
  }
}

void deliverQuestion(claims_model &Model, model_message Message) {
  const bool IsMeant = Message.HomeIncarnation == Model.Hosts[0].Incarnation ||
                       !Model.Rules.CheckHomeIncarnation;
  if (!IsMeant) {
    return; // the asker learns that the home is dead; it starts nothing
  }
  const host_identity From = identityOf(Message.Host, Message.HostIncarnation);
  const claim_ask Ask{Message.Mode, Key, 1, SubmittedAt, Message.Number};
  if (Message.Mode == claim_mode::Release) {
    releaseClaim(Model.Home, From, Ask);
    return;
  }
  Message.Outcome = claim_outcome::Held;
  if (!Model.Hosts[0].HasRecord) {
    Message.Outcome = decideClaim(Model.Home, From, Ask, Model.Now).Outcome;
  }
  Message.IsAnswer = true;
  Model.Network.push_back(Message);
}

void deliverAnswer(claims_model &Model, const model_message &Message,
                   bool Refuse) {
  model_host &Holder = Model.Hosts[Message.Host];
  if (Message.HostIncarnation != Holder.Incarnation) {
    return; // no connection of the earlier process is open
  }
  const bool MayStart =
      Message.Outcome == claim_outcome::Granted &&
      mayStart(Holder.Asks, Key, Message.Number, Holder.HasRecord);
  const auto Pending = Holder.Asks.Pending.find(Key);
  if (MayStart || (Pending != Holder.Asks.Pending.end() &&
                   Pending->second == Message.Number)) {
    endClaim(Holder.Asks, Key);
  }
  if (MayStart && Refuse) {
    sendRelease(Model, Message.Host);
  } else if (MayStart) {
    start(Model, Message.Host);
  }
}

void restart(claims_model &Model, std::size_t Host) {
  model_host &Process = Model.Hosts[Host];
  const std::uint64_t Incarnation = Process.Incarnation + 1;
  Process = {};
  Process.Incarnation = Incarnation;
  Process.Asks.Rules = Model.Rules;
  if (Host == 0) {
    Model.Home = {};
    Model.Home.Rules = Model.Rules;
  }
}

/// The retention period passes, at the end of which the wall clocks step back
/// by the allowed skew.
void forget(claims_model &Model) {
  const milliseconds Passed =
      config::AnswerRetention + 2 * config::MaxClockSkew;
  Model.Now.Boot += Passed;
  Model.Now.Wall += Passed - config::MaxClockSkew;
  for (model_host &Host : Model.Hosts) {
    Host.HasRecord = false;
  }
}

/// Collects successors, each made by one change while its budget lasts.
struct successor_list {
  const claims_model &Model;
  std::vector<claims_model> States;

  template <class Change> void add(int model_budget::*Budget, Change &&Apply) {
    if (Budget != nullptr && Model.Budget.*Budget == 0) {
      return;
    }
    claims_model Next = Model;
    if (Budget != nullptr) {
      --(Next.Budget.*Budget);
    }
    Apply(Next);
    States.push_back(std::move(Next));
  }
};

void deliver(claims_model &Model, std::size_t Index, bool Keep, bool Refuse) {
  const model_message Message = Model.Network[Index];
  if (!Keep) {
    Model.Network.erase(Model.Network.begin() +
                        static_cast<std::ptrdiff_t>(Index));
  }
  if (Message.IsAnswer) {
    deliverAnswer(Model, Message, Refuse);
  } else {
    deliverQuestion(Model, Message);
  }
}

void addDeliveries(successor_list &List) {
  for (std::size_t Index = 0; Index < List.Model.Network.size(); ++Index) {
    List.add(nullptr,
             [&](claims_model &Next) { deliver(Next, Index, false, false); });
    List.add(&model_budget::Duplications,
             [&](claims_model &Next) { deliver(Next, Index, true, false); });
    if (List.Model.Network[Index].IsAnswer) {
      List.add(&model_budget::Refusals,
               [&](claims_model &Next) { deliver(Next, Index, false, true); });
    }
  }
}
} // namespace

claims_model makeModel(const claim_rules &Rules, const model_budget &Budget,
                       std::size_t Hosts) {
  claims_model Model;
  Model.Rules = Rules;
  Model.Budget = Budget;
  Model.Hosts.resize(Hosts);
  Model.Home.Rules = Rules;
  for (model_host &Host : Model.Hosts) {
    Host.Asks.Rules = Rules;
  }
  return Model;
}

std::vector<claims_model> nextStates(const claims_model &Model) {
  successor_list List{Model, {}};
  addDeliveries(List);
  for (std::size_t Host = 0; Host < Model.Hosts.size(); ++Host) {
    List.add(&model_budget::Submissions,
             [&](claims_model &Next) { submit(Next, Host); });
    List.add(&model_budget::Restarts,
             [&](claims_model &Next) { restart(Next, Host); });
    if (Host != 0) {
      List.add(&model_budget::Timeouts, [&](claims_model &Next) {
        endClaim(Next.Hosts[Host].Asks, Key);
      });
      List.add(&model_budget::Probes,
               [&](claims_model &Next) { sendRelease(Next, Host); });
    }
  }
  List.add(&model_budget::Forgettings, forget);
  return std::move(List.States);
}

std::string fingerprint(const claims_model &Model) {
  std::string Text;
  const auto Add = [&](auto Number) {
    Text += static_cast<char>(static_cast<int>(Number) + ' ');
  };
  const model_budget &Left = Model.Budget;
  for (const int Count :
       {Left.Submissions, Left.Timeouts, Left.Probes, Left.Refusals,
        Left.Restarts, Left.Duplications, Left.Forgettings, Model.Starts}) {
    Add(Count);
  }
  for (const model_host &Host : Model.Hosts) {
    Add(Host.Incarnation);
    Add(Host.HasRecord);
    Add(Host.Asks.NextNumber);
    for (const auto &[Name, Number] : Host.Asks.Pending) {
      Add(Number);
    }
    Text += '/';
  }
  for (const auto &[Name, Entry] : Model.Home.Entries) {
    Text += Entry.Holder.Host;
    Add(Entry.Holder.Incarnation);
    Add(Entry.Number);
  }
  std::vector<std::string> Messages;
  for (const model_message &Message : Model.Network) {
    std::string Row;
    for (const std::uint64_t Field :
         {static_cast<std::uint64_t>(Message.IsAnswer),
          static_cast<std::uint64_t>(Message.Host), Message.HostIncarnation,
          static_cast<std::uint64_t>(Message.Mode), Message.Number,
          static_cast<std::uint64_t>(Message.Outcome)}) {
      Row += static_cast<char>(static_cast<int>(Field) + ' ');
    }
    Messages.push_back(std::move(Row));
  }
  std::sort(Messages.begin(), Messages.end());
  for (const std::string &Message : Messages) {
    Text += '|' + Message;
  }
  return Text;
}

} // namespace tarragonbridge
