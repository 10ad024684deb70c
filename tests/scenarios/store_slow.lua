-- Promise: every short request is answered once and whole.
-- Fault: each call to the store takes seconds.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])

world.store:slow(1500)
for _ = 1, 20 do session:submit { tasks = 3, run_ms = math.random(10, 100) }:expectComplete() end

world.check()
