-- Promise: every job's answer is either complete or failed; cancelled work runs no further.
-- Fault: callers cancel hundreds of jobs at once, each twice.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])
local jobs = {}
for _ = 1, 300 do table.insert(jobs, session:submit { tasks = 2, run_ms = 10000 }) end

world.waitFor(function() return w.t1:starts() + w.t2:starts() >= 16 end, "all slots in use")
-- A cancel that overtakes its submission on another connection finds no job yet.
world.waitFor(function() return w["cp-1"]:metric("^tarragonbridge_jobs_submitted_total$") >= #jobs end, "all submitted")
local cancels = {}
for _, job in ipairs(jobs) do
  for _ = 1, 2 do
    table.insert(cancels, runner.send("DELETE", "http://" .. w["cp-1"].address .. "/v1/jobs/" .. job.key))
  end
end

for _, cancel in ipairs(cancels) do
  local result = world.waitFor(function() return runner.result(cancel) end, "an answer to a cancel")
  world.expect(result.status ~= 404 and result.status ~= 0, "each cancel finds its job, not " .. result.status)
end
for _, job in ipairs(jobs) do
  local answer = job:answer()
  local isCancelled = answer.state == "failed" and answer.reason == "cancelled"
  world.expect(isCancelled or answer.state == "refused" and answer.not_run, "cancelled, or refused before it ran")
  if answer.not_run then world.expectEqual(job:starts(), 0, "starts of a job not run") end
end
session:submit { tasks = 16, run_ms = 20 }:expectComplete()
world.check()
