-- Promise: no task of a submission starts twice, even when a client resubmits.
-- Fault: the client resubmits by another entry host, while the job runs and after its end.
local world = require "world"
local w = world.start { hosts = { { name = "cp-1" }, { name = "cp-2" } } }
local job = world.openSession(w["cp-1"]):submit { tasks = 5, run_ms = 600 }

job:awaitStarts(5)
local whileRunning = job:resubmit(w["cp-2"])
job:expectComplete()
job:expectComplete(whileRunning)
job:expectComplete(job:resubmit(w["cp-2"]))

world.expectEqual(job:starts(), 5, "starts")
world.check()
