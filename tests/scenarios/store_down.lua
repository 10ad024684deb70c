-- Promise: every short request is answered once and whole.
-- Fault: the store is down while jobs come and go.
local world = require "world"
local w = world.start {}
local session = world.openSession(w["cp-1"])

world.store:down()
local untilMs = runner.now() + world.shortOrLong(4, 180) * 1000
while runner.now() < untilMs do
  session:submit { tasks = 3, run_ms = math.random(10, 100) }:expectComplete()
end
local opened = world.openSession(w["cp-1"]):submit { tasks = 2 }
opened:expectComplete()
world.store:up()

session:submit {}:expectComplete()
world.check()
