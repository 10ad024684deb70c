-- Promise: a repeatable task has a further attempt only after the earlier one has ended.
-- Fault: a target dies, another is paused past its leases and goes on.
local world = require "world"
local w = world.start { targets = { { name = "t1" }, { name = "t2" }, { name = "t3" } } }
local session = world.openSession(w["cp-1"])
local jobs = {}
for _ = 1, 6 do table.insert(jobs, session:submit { tasks = 3, run_ms = 1200, repeatable = true }) end

world.waitFor(function() return w.t1:starts() > 2 and w.t2:starts() > 2 end, "starts")
w.t1:kill()
w.t2:pause()
runner.sleep(3000)
w.t2:resume()

for _, job in ipairs(jobs) do
  local answer = job:answer()
  world.expect(answer.state == "complete" or answer.state == "failed", "a final answer")
end
world.check()
