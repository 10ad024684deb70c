-- Promise: an outage of the store stops no service; a setting accepted after it is in force
-- everywhere within seconds and never reverts.
-- Fault: the store refuses, is silent, slow, loses answers and its history, revokes keys.
local pool = require "pool"
pool.start()
pool.run(12)
runner.sleep(500)
pool.faults { store = { down = true } }
runner.sleep(2500)
pool.faults { store = {} }
pool.configure("quote", "long", "extra")
runner.sleep(500)
pool.faults { store = { slow_ms = 200, loses = 0.5 } }
pool.revoke()
runner.sleep(2000)
pool.faults { store = { misses_watches = true } }
pool.configure("quote", "long")
pool.compact()
runner.sleep(2500)
pool.faults { store = { silent = true } }
runner.sleep(1500)
pool.faults { store = {} }
local report = pool.finish()
pool.expectServed(report, 0.95)
