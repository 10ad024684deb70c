-- Promise: no task of a submission starts twice, even when a client resubmits.
-- Fault: a client believes its job lost, while it runs and after its end.
local world = require "world"
local w = world.start {}
local job = world.openSession(w["cp-1"]):submit { tasks = 5, run_ms = 400 }

job:awaitStarts(5)
local whileRunning = { job:resubmit(w["cp-1"]), job:resubmit(w["cp-1"]) }
job:expectComplete()
for _, call in ipairs(whileRunning) do job:expectComplete(call) end
job:expectComplete(job:resubmit(w["cp-1"]))

world.expectEqual(job:starts(), 5, "starts")
world.check()
