-- Promise: a refusal that says "not run" is true.
-- Fault: jobs that can never run, unknown teams, times that are off.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])

local cases = {
  { options = { cores = 100 }, status = 422 },
  { options = { team = "nobody" }, status = 404 },
  { options = { tasks = 2, time_limit_ms = 0 }, status = 400 },
}
for _, case in ipairs(cases) do
  local job = session:submit(case.options)
  local answer = job:answer()
  world.expectEqual(answer.status, case.status, "status")
  world.expectEqual(answer.state, "refused", "state")
  world.expectEqual(job:starts(), 0, "starts")
end
local used = session:submit { tasks = 2 }
used:expectComplete()
used.body = used.body:gsub('"run_ms":50', '"run_ms":51')
local reused = used:answer(used:resubmit(w["cp-1"]))
world.expectEqual(reused.status, 409, "status of a reused key")
world.expect(not reused.not_run, "the key's first job ran")
world.check()
