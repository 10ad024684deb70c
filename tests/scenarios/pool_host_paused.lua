-- Promise: a host that stood still past its leases and wakes starts nothing it may not.
-- Fault: a host is paused for longer than leases and silence bounds, twice.
local pool = require "pool"
pool.start()
pool.run(8)
for _ = 1, 2 do
  runner.sleep(800)
  pool["pool-2"]:pause()
  runner.sleep(2200)
  pool["pool-2"]:resume()
end
local report = pool.finish()
pool.expectServed(report, 0.5)
