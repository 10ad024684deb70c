-- Promise: no task runs twice at once; targets of a dead host are taken over; service goes on.
-- Fault: a host is killed and started again, then two at once.
local pool = require "pool"
pool.start()
pool.run(8)
runner.sleep(1500)
pool["pool-1"]:kill()
runner.sleep(1500)
pool["pool-1"]:launch()
runner.sleep(1500)
pool["pool-2"]:kill()
pool["pool-3"]:kill()
pool["pool-2"]:launch()
pool["pool-3"]:launch()
local report = pool.finish()
pool.expectServed(report, 0.5)
