-- Promise: answers are never partial, nothing runs twice.
-- Faults: a host loses the store without a word, and then a target dies.
local world = require "world"
local w = world.start { targets = { { name = "t1" }, { name = "t2" }, { name = "t3" } } }
local session = world.openSession(w["cp-1"])

w["cp-1"].store:stall()
local jobs = {}
for _ = 1, 10 do table.insert(jobs, session:submit { tasks = 3, run_ms = 600 }) end
for _, job in ipairs(jobs) do job:awaitStarts(1) end
w.t2:kill()

for _, job in ipairs(jobs) do
  local answer = job:answer()
  world.expect(answer.state == "complete" or answer.state == "failed" and answer.outcome == "unknown",
    "complete, or failed with its outcome unknown")
end
w["cp-1"].store:heal()
world.check()
