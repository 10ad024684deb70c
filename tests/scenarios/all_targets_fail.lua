-- Promise: every job's answer is either complete or failed; one start at most.
-- Fault: all targets fail everything they start, then recover.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])
w.t1:mode { fail_all = true }
w.t2:mode { fail_all = true }

for _ = 1, 10 do
  local job = session:submit { tasks = 2 }
  local answer = job:answer()
  world.expect(answer.state ~= "complete", "no answer is complete")
  world.expect(job:starts() <= 2, "at most one start a task")
end
w.t1:mode { fail_all = false }
w.t2:mode { fail_all = false }

world.waitFor(function()
  return session:submit { tasks = 2 }:answer().state == "complete"
end, "jobs complete again")
world.check()
