-- Promise: what isn't answered counts neither as not run nor as run; no target over its room.
-- Fault: a tenth of all orders gets no answer and is carried out seconds later; a host dies.
local pool = require "pool"
pool.start()
pool.faults { targets = { share = 1, late = 0.1 } }
pool.run(8)
runner.sleep(3000)
pool["pool-1"]:kill()
pool["pool-1"]:launch()
local report = pool.finish()
pool.expectServed(report, 0.5)
