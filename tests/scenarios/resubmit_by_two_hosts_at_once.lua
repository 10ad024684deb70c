-- Promise: every caller gets the whole answer to its own request.
-- Fault: peers hear each other late and in bursts; every job is submitted by two hosts
-- at the same time.
local world = require "world"
local w = world.start { hosts = { { name = "cp-1" }, { name = "cp-2" } } }
w["cp-1"].peers:delay(30, 150)
w["cp-2"].peers:delay(30, 150)
local sessions = { world.openSession(w["cp-1"]), world.openSession(w["cp-2"]) }

local jobs = {}
for n = 1, 30 do
  local job = sessions[n % 2 + 1]:submit { tasks = 2, run_ms = math.random(10, 300) }
  table.insert(jobs, { job = job, again = job:resubmit(w["cp-" .. (2 - n % 2)]) })
end

for _, pair in ipairs(jobs) do
  pair.job:expectComplete()
  local again = pair.job:answer(pair.again)
  local isUnsure = again.state == "refused" and not again.not_run
  world.expect(again.state == "complete" or isUnsure, "complete, or the home did not answer in time")
  world.expectEqual(pair.job:finalAnswerFrom(w["cp-1"]).state, "complete", "state")
  world.expectEqual(pair.job:starts(), 2, "starts")
end
world.check()
