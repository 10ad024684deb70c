-- Promise: a request not marked as repeatable runs at most once.
-- Fault: a task ends, and its answer is lost with the connection.
local world = require "world"
local w = world.start { targets = { { name = "t1" } } }
w.t1.link:stall("backward")
local job = world.openSession(w["cp-1"]):submit { tasks = 1, run_ms = 50 }

job:awaitStarts(1)
runner.sleep(300)
w.t1.link:resetConnections()
local answer = job:answer()
w.t1.link:heal()

world.expectEqual(answer.state, "failed", "state")
world.expectEqual(answer.outcome, "unknown", "outcome")
world.expectEqual(job:answer(job:resubmit(w["cp-1"])).state, "failed", "answer to the resubmission")
world.expectEqual(job:starts(), 1, "starts")
world.check()
