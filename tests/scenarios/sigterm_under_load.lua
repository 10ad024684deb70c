-- Promise: a graceful shutdown cuts off no request in flight.
-- Fault: SIGTERM while many requests are in flight and more arrive.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])
local jobs = {}
for _ = 1, 40 do table.insert(jobs, session:submit { tasks = 2, run_ms = math.random(100, 600) }) end

world.waitFor(function() return w["cp-1"]:metric("^tarragonbridge_jobs_submitted_total$") >= 40 end, "all accepted")
w["cp-1"]:terminate()
local late = {}
for _ = 1, 10 do table.insert(late, session:submit { run_ms = 50 }) end

for _, job in ipairs(jobs) do job:expectComplete() end
for _, job in ipairs(late) do
  local answer = job:answer()
  local isRefused = answer.state == "refused" and answer.not_run
  world.expect(isRefused or answer.state == "complete" or answer.state == "lost" and job:starts() == 0,
    "refused, complete or not accepted, not " .. answer.state)
end
world.expectEqual(w["cp-1"]:waitForExit(), 0, "exit code")
world.check()
