#include "platform/store_client.h"

#include "base/clock.h"
#include "platform/call_budget.h"
#include "platform/watch_stream_p.h"
#include "tarragonbridge/config.h"

#include <mutex>

namespace tarragonbridge {

namespace {
constexpr int StatusOk = 200;
/// Bound of a watch that goes on hearing from the store.
constexpr std::chrono::hours MaxWatchTime{1};
} // namespace

struct store_client::shared_state {
  std::vector<std::string> Addresses;
  std::mutex Mutex;
  std::size_t Current = 0; ///< guarded by Mutex
  call_budget Budget{config::StoreCallsPerSecond,
                     config::StoreCallBurst}; ///< guarded by Mutex
  store_counters Counters;                    ///< guarded by Mutex
};

store_client::store_client(http_client &Client,
                           std::vector<std::string> Addresses)
    : Client(Client), Shared(std::make_shared<shared_state>()) {
  Shared->Addresses = std::move(Addresses);
}

store_counters store_client::counters() const {
  const std::lock_guard Lock(Shared->Mutex);
  return Shared->Counters;
}

result<std::string> store_client::beginCall(std::string_view Step) const {
  const std::lock_guard Lock(Shared->Mutex);
  const std::string &Address = Shared->Addresses.at(Shared->Current);
  if (!Shared->Budget.take(bootNow())) {
    ++Shared->Counters.OverBudget;
    return boost::leaf::new_error(
        error{std::string(Step), Address, reason::StoreBudgetSpent,
              "the budget of calls to the store is spent"});
  }
  ++Shared->Counters.Calls;
  return Address;
}

boost::leaf::error_id store_client::fail(std::string_view Step,
                                         const std::string &Address,
                                         reason Reason,
                                         const http_result &Answer) const {
  {
    const std::lock_guard Lock(Shared->Mutex);
    ++Shared->Counters.Failures;
    const std::vector<std::string> &Addresses = Shared->Addresses;
    // Another call may have turned away from this endpoint already.
    if (Addresses.at(Shared->Current) == Address) {
      Shared->Current = (Shared->Current + 1) % Addresses.size();
    }
  }
  const std::string Message = Answer.Status == 0
                                  ? Answer.Error
                                  : "status " + std::to_string(Answer.Status);
  return boost::leaf::new_error(
      error{std::string(Step), Address, Reason, Message});
}

result<std::string> store_client::call(std::string_view Step,
                                       std::string_view Path, std::string Body,
                                       bool IsWrite) const {
  BOOST_LEAF_AUTO(Address, beginCall(Step));
  http_call Call;
  Call.Url = "http://" + Address + std::string(Path);
  Call.Body = std::move(Body);
  http_result Answer = sendAndWait(Client, std::move(Call));
  if (Answer.Status == StatusOk) {
    return std::move(Answer.Body);
  }
  // An error status proves nothing: the store answers so as well when it lost
  // sight of a write that its members may yet agree on.
  const bool MayHaveEffect = IsWrite && Answer.WasSent;
  return fail(Step, Address,
              MayHaveEffect ? reason::StoreOutcomeUnknown
                            : reason::StoreUnreachable,
              Answer);
}

result<store_range> store_client::range(std::string_view Prefix) const {
  constexpr std::string_view Step = "read store";
  BOOST_LEAF_AUTO(Body, call(Step, "/v3/kv/range",
                             formatRange(Prefix, endOfPrefix(Prefix)), false));
  if (auto Range = parseRange(Body)) {
    return std::move(*Range);
  }
  return boost::leaf::new_error(error{std::string(Step), "store",
                                      reason::StoreUnreachable,
                                      "the answer is not well formed"});
}

result<store_range> store_client::get(std::string_view Key) const {
  constexpr std::string_view Step = "read store";
  BOOST_LEAF_AUTO(Body,
                  call(Step, "/v3/kv/range", formatRange(Key, ""), false));
  if (auto Range = parseRange(Body)) {
    return std::move(*Range);
  }
  return boost::leaf::new_error(error{std::string(Step), "store",
                                      reason::StoreUnreachable,
                                      "the answer is not well formed"});
}

result<store_outcome>
store_client::txn(const store_transaction &Transaction) const {
  constexpr std::string_view Step = "write store";
  BOOST_LEAF_AUTO(
      Body, call(Step, "/v3/kv/txn", formatTransaction(Transaction), true));
  if (auto Outcome = parseOutcome(Body)) {
    return std::move(*Outcome);
  }
  return boost::leaf::new_error(error{std::string(Step), "store",
                                      reason::StoreOutcomeUnknown,
                                      "the answer is not well formed"});
}

result<watch_end> store_client::watch(std::string_view Prefix,
                                      std::int64_t Start, watch_handler Handler,
                                      std::function<bool()> KeepGoing) const {
  constexpr std::string_view Step = "watch store";
  BOOST_LEAF_AUTO(Address, beginCall(Step));
  watch_stream Stream(std::move(Handler), bootNow());
  watch_end End = watch_end::Cut;
  http_call Call;
  Call.Url = "http://" + Address + "/v3/watch";
  Call.Body = formatWatch(Prefix, Start);
  Call.Timeout = MaxWatchTime;
  Call.OnPart = [&](std::string_view Part) { Stream.add(Part, bootNow()); };
  Call.KeepGoing = [&] {
    if (!KeepGoing() || !Stream.isOpen()) {
      End = watch_end::Done;
    } else if (Stream.isSilent(bootNow())) {
      End = watch_end::Silent;
    }
    return End == watch_end::Cut;
  };
  const http_result Answer = sendAndWait(Client, std::move(Call));
  if (End != watch_end::Done && !Stream.wasCreated()) {
    return fail(Step, Address, reason::StoreUnreachable, Answer);
  }
  const std::lock_guard Lock(Shared->Mutex);
  ++Shared->Counters.WatchesOpened;
  Shared->Counters.WatchesSilent += End == watch_end::Silent ? 1 : 0;
  return End;
}

} // namespace tarragonbridge
