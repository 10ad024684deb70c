-- Promise: a target that is leaving receives no new work after a few seconds.
-- Fault: the list says so late, and the target itself still takes work.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])
local running = session:submit { tasks = 8, run_ms = 1500 }

running:awaitStarts(8)
w.t1:listAsLeaving()
runner.sleep(5100)
local before = w.t1:starts()
for _ = 1, 10 do session:submit { tasks = 2, run_ms = 20 }:expectComplete() end

running:expectComplete()
world.expectEqual(w.t1:starts(), before, "starts at the leaving target")
world.check()
