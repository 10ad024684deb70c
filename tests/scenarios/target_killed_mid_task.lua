-- Promise: a request not marked as repeatable runs at most once; answers are never partial.
-- Fault: a target dies while it runs one of the tasks.
local world = require "world"
local w = world.start {}
local job = world.openSession(w["cp-1"]):submit { tasks = 4, run_ms = 1500 }

job:awaitStarts(4)
w.t1:kill()
local answer = job:answer()

world.expectEqual(answer.state, "failed", "state")
world.expectEqual(answer.outcome, "unknown", "outcome")
world.expectEqual(answer.not_run, false, "not_run")
world.expectEqual(job:answer(job:resubmit(w["cp-1"])).state, "failed", "answer to the resubmission")
world.expectEqual(job:starts(), 4, "starts")
world.check()
