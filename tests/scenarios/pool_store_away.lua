-- Guarantee: jobs are served during a store outage; a configuration accepted after it is in
-- force on all hosts within seconds and never reverts.
-- Fault: the store refuses connections, doesn't respond, is slow, loses responses and its
-- history, and removes keys.
local pool = require "pool"
pool.start()
pool.startLoad(12)
runner.sleep(500)
pool.setFaults { store = { down = true } }
runner.sleep(2500)
pool.setFaults { store = {} }
pool.setRoutes("quote", "long", "extra")
runner.sleep(500)
pool.setFaults { store = { slow_ms = 200, loses = 0.5 } }
pool.removeKeys()
runner.sleep(2000)
pool.setFaults { store = { misses_watches = true } }
pool.setRoutes("quote", "long")
pool.compactHistory()
runner.sleep(2500)
pool.setFaults { store = { silent = true } }
runner.sleep(1500)
pool.setFaults { store = {} }
local report = pool.finishLoad()
pool.expectServed(report, 0.95)
