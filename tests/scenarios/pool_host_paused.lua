-- Guarantee: a host that resumes after its leases have expired starts no attempt that it
-- may no longer start.
-- Fault: a host is paused twice, for longer than its leases and the failure-detection timeouts.
local pool = require "pool"
pool.start()
pool.startLoad(8)
for _ = 1, 2 do
  runner.sleep(800)
  pool["pool-2"]:pause()
  runner.sleep(2200)
  pool["pool-2"]:resume()
end
local report = pool.finishLoad()
pool.expectServed(report, 0.5)
