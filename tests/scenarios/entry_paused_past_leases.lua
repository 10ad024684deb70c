-- Promise: a request not marked as repeatable runs at most once.
-- Fault: the entry host is paused until the leases of its tasks have lapsed.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])
local job = session:submit { tasks = 3, run_ms = 4000 }

job:awaitStarts(3)
w["cp-1"]:pause()
runner.sleep(3000)
w["cp-1"]:resume()
local answer = job:answer()

world.expectEqual(answer.state, "failed", "state")
world.expectEqual(job:answer(job:resubmit(w["cp-1"])).state, "failed", "answer to the resubmission")
world.expectEqual(job:starts(), 3, "starts")
session:submit { tasks = 2 }:expectComplete()
world.check()
