-- Promise: every job's answer is either complete or failed, never partial.
-- Fault: one of four targets dies in the middle of a job of 730 tasks.
local world = require "world"
local w = world.start { targets = {
  { name = "t1", slots = 30 }, { name = "t2", slots = 30 }, { name = "t3", slots = 30 }, { name = "t4", slots = 30 } } }
local job = world.openSession(w["cp-1"]):submit { tasks = 730, run_ms = 100 }

job:awaitStarts(200)
w.t3:kill()
local answer = job:answer()

world.expectEqual(answer.state, "failed", "state")
world.expectEqual(answer.results, nil, "results")
world.expect(job:starts() <= 730, "at most one start a task")
world.check()
