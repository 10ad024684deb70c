-- Promise: no task of a submission starts twice.
-- Fault: the home of a key is paused for longer than any timeout; the client goes to
-- another host, and the home goes on.
local world = require "world"
local w = world.start { hosts = { { name = "cp-1" }, { name = "cp-2" } } }
local session = world.openSession(w["cp-1"])
local job = session:submit { tasks = 3, run_ms = 500 }

job:awaitStarts(3)
w["cp-1"]:pause()
local elsewhere = { job:resubmit(w["cp-2"]) }
runner.sleep(world.shortOrLong(6, 40) * 1000)
table.insert(elsewhere, job:resubmit(w["cp-2"]))
w["cp-1"]:resume()

for _, call in ipairs(elsewhere) do
  local answer = job:answer(call)
  world.expect(answer.state == "failed" or answer.state == "refused" or answer.state == "complete", "an answer")
  world.expect(not answer.not_run, "nothing claims that the job did not run")
end
job:answer()
world.expectEqual(job:starts(), 3, "starts")
world.check()
