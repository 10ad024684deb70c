-- Promise: no task of a submission starts twice; "not run" is true.
-- Fault: the home of a key dies while it runs the job; the client goes to another host.
local world = require "world"
local w = world.start { hosts = { { name = "cp-1" }, { name = "cp-2" } } }
local job = world.openSession(w["cp-1"]):submit { tasks = 4, run_ms = 800 }

job:awaitStarts(4)
w["cp-1"]:kill()
for _ = 1, 3 do
  local answer = job:answer(job:resubmit(w["cp-2"]))
  world.expect(answer.state == "failed" or answer.state == "refused", "no answer is made up: " .. answer.state .. " " .. answer.error)
  world.expect(not answer.not_run, "nothing claims that the job did not run")
  runner.sleep(500)
end

world.expectEqual(job:starts(), 4, "starts")
world.openSession(w["cp-2"]):submit { tasks = 2 }:expectComplete()
world.check()
