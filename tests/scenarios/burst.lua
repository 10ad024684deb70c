-- Promise: a refusal that says "not run" is true; all else is answered whole.
-- Fault: far more jobs than the targets can run, all at once, with short time limits.
local world = require "world"
local w = world.start { hosts = { { name = "cp-1" }, { name = "cp-2" } } }
local sessions = { world.openSession(w["cp-1"]), world.openSession(w["cp-2"]) }
local jobs = {}
for n = 1, 400 do
  table.insert(jobs, sessions[n % 2 + 1]:submit { tasks = 4, run_ms = 100, time_limit_ms = 4000 })
end

local complete = 0
for _, job in ipairs(jobs) do
  local answer = job:answer()
  world.expect(answer.state == "complete" or answer.state == "failed" or answer.state == "refused", "a final answer")
  if answer.state == "complete" then complete = complete + 1 end
  if answer.not_run then world.expectEqual(job:starts(), 0, "starts of a job not run") end
end
world.expect(complete > 0, "some jobs complete")
world.check()
