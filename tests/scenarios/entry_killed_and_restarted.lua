-- Promise: no task of a submission starts twice; "not run" is true.
-- Fault: the entry host dies while it runs a job and comes back under its address.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])
local done = session:submit { tasks = 2 }
done:expectComplete()
local job = session:submit { tasks = 4, run_ms = 1000 }

job:awaitStarts(4)
w["cp-1"]:restart()
world.expectEqual(job:answer().state, "lost", "answer of the host that died")
w["cp-1"]:awaitReady()

for _, lost in ipairs { job, done } do
  local answer = lost:answer(lost:resubmit(w["cp-1"]))
  world.expect(answer.state == "failed" or answer.state == "refused", "no answer is made up: " .. answer.state .. " " .. answer.error)
  world.expect(not answer.not_run, "nothing claims that the job did not run")
end
world.expectEqual(job:starts(), 4, "starts")
world.expectEqual(done:starts(), 2, "starts")
world.openSession(w["cp-1"]):submit { tasks = 2 }:expectComplete()
world.check()
