-- Promise: a leaving target gets no new work; what runs there ends.
-- Fault: a third of the targets says that it is leaving, under load.
local pool = require "pool"
pool.start()
pool.run(6)
runner.sleep(1500)
pool.faults { targets = { share = 0.34, drain = true } }
local report = pool.finish()
pool.expectServed(report, 0.9)
