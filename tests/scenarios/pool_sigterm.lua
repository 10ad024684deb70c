-- Promise: a graceful shutdown cuts nothing off; targets are handed over.
-- Fault: hosts are ended by SIGTERM one after the other, and get SIGHUP before.
local world = require "world"
local pool = require "pool"
pool.start()
pool.run(14)
for number = 1, 2 do
  local host = pool["pool-" .. number]
  host:signal("HUP")
  runner.sleep(300)
  world.expectEqual(host:terminate(), 0, "exit code")
  host:launch()
  host:awaitReady()
end
local report = pool.finish()
pool.expectServed(report, 0.97)
