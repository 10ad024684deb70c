-- Promise: every job's answer is either complete or failed; one start at most.
-- Fault: one of four targets fails everything it starts, at once, and so is always free.
local world = require "world"
local w = world.start { targets = { { name = "t1" }, { name = "t2" }, { name = "t3" }, { name = "t4" } } }
w.t1:mode { fail_all = true }
local session = world.openSession(w["cp-1"])

local complete = 0
for n = 1, 60 do
  local answer = session:submit { tasks = 2, run_ms = 30, repeatable = n % 2 == 0 }:answer()
  world.expect(answer.state == "complete" or answer.state == "failed", "a final answer")
  if answer.state == "complete" then complete = complete + 1 end
end
world.expect(complete > 0, "some jobs complete")
world.check()
