-- Guarantee: no two attempts of a task run at the same time; targets of a dead host are
-- taken over; jobs are still served.
-- Fault: one host is killed and restarted, then two hosts at once.
local pool = require "pool"
pool.start()
pool.startLoad(8)
runner.sleep(1500)
pool["pool-1"]:kill()
runner.sleep(1500)
pool["pool-1"]:launch()
runner.sleep(1500)
pool["pool-2"]:kill()
pool["pool-3"]:kill()
pool["pool-2"]:launch()
pool["pool-3"]:launch()
local report = pool.finishLoad()
pool.expectServed(report, 0.5)
