-- Promise: a request not marked as repeatable runs at most once.
-- Fault: a target is paused until its leases have lapsed, then goes on.
local world = require "world"
local w = world.start {}
local job = world.openSession(w["cp-1"]):submit { tasks = 2, run_ms = 1000, time_limit_ms = 8000 }

job:awaitStarts(2)
w.t1:pause()
runner.sleep(3000)
w.t1:resume()
local answer = job:answer()

world.expect(answer.state == "failed" or answer.state == "complete", "a final answer")
world.expectEqual(job:starts(), 2, "starts")
world.check()
