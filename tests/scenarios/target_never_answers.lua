-- Promise: every job's answer is either complete or failed, never partial.
-- Fault: a target runs its tasks and never answers.
local world = require "world"
local w = world.start {}
w.t1:mode { drop_replies = true }
local job = world.openSession(w["cp-1"]):submit { tasks = 4, run_ms = 50, time_limit_ms = 2500 }

local answer = job:answer()

world.expectEqual(answer.state, "failed", "state")
world.expectEqual(answer.outcome, "unknown", "outcome")
world.expectEqual(job:starts(), 4, "starts")
world.check()
