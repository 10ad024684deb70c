#include "scenario_runner/calls.h"

#include "base/clock.h"

namespace tarragonbridge {

int scenario_calls::send(http_call Call) {
  const int Number = Next++;
  Client.send(std::move(Call), [this, Number](http_result &&Result) {
    finish(Number, std::move(Result));
  });
  return Number;
}

int scenario_calls::submit(const job_call &Job) {
  const int Number = Next++;
  Journal.write({call_event::Submitted, wallNow(), Job.Key, Job.Address,
                 Job.Repeatable, Job.Tasks, 0, ""});
  http_call Call;
  Call.Url = "http://" + Job.Address + "/v1/jobs";
  Call.Body = Job.Body;
  Call.Timeout = Job.Timeout;
  Client.send(std::move(Call), [this, Number, Key = Job.Key,
                                Address = Job.Address](http_result &&Result) {
    if (Result.Status != 0) {
      Journal.write({call_event::Answered, wallNow(), Key, Address, false, 0,
                     Result.Status, Result.Body});
    }
    finish(Number, std::move(Result));
  });
  return Number;
}

std::optional<http_result> scenario_calls::result(int Number) const {
  const std::lock_guard Lock(Mutex);
  const auto Found = Results.find(Number);
  return Found == Results.end() ? std::nullopt : std::optional(Found->second);
}

void scenario_calls::finish(int Number, http_result &&Result) {
  const std::lock_guard Lock(Mutex);
  Results[Number] = std::move(Result);
}

} // namespace tarragonbridge
