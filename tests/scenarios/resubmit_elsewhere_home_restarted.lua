-- Promise: no task of a submission starts twice; "not run" is true.
-- Faults: the home dies and returns under its address as another incarnation; the client
-- resubmits by another host and by the new one.
local world = require "world"
local w = world.start { hosts = { { name = "cp-1" }, { name = "cp-2" } } }
local job = world.openSession(w["cp-1"]):submit { tasks = 3, run_ms = 600 }

job:awaitStarts(3)
local early = job:resubmit(w["cp-2"])
w["cp-1"]:restart()
w["cp-1"]:awaitReady()

for _, call in ipairs { early, job:resubmit(w["cp-2"]), job:resubmit(w["cp-1"]) } do
  local answer = job:answer(call)
  world.expect(answer.state == "failed" or answer.state == "refused", "no answer is made up: " .. answer.state)
  world.expect(not answer.not_run, "nothing claims that the job did not run")
end
world.expectEqual(job:starts(), 3, "starts")
world.check()
