-- Promise: every job's answer is either complete or failed; cancelled work runs no further.
-- Fault: callers cancel hundreds of jobs at once, each twice.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])
local jobs = {}
for _ = 1, 300 do table.insert(jobs, session:submit { tasks = 2, run_ms = 10000 }) end

jobs[1]:awaitStarts(2)
local cancels = {}
for _, job in ipairs(jobs) do
  for _ = 1, 2 do
    table.insert(cancels, runner.send("DELETE", "http://" .. w["cp-1"].address .. "/v1/jobs/" .. job.key))
  end
end

for _, job in ipairs(jobs) do
  local answer = job:answer()
  world.expectEqual(answer.state, "failed", "state")
  world.expectEqual(answer.reason, "cancelled", "reason")
  if answer.not_run then world.expectEqual(job:starts(), 0, "starts of a job not run") end
end
session:submit { tasks = 16, run_ms = 20 }:expectComplete()
world.check()
