-- Guarantee: a graceful shutdown cuts off no request; targets are handed over.
-- Fault: hosts get SIGHUP and then SIGTERM, one host after the other.
local world = require "world"
local pool = require "pool"
pool.start()
pool.startLoad(14)
for number = 1, 2 do
  local host = pool["pool-" .. number]
  host:signal("HUP")
  runner.sleep(300)
  world.expectEqual(host:terminate(), 0, "exit code")
  host:launch()
  host:awaitReady()
end
local report = pool.finishLoad()
pool.expectServed(report, 0.97)
