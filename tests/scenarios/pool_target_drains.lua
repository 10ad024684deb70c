-- Guarantee: a draining target gets no new tasks; the tasks that run there complete.
-- Fault: a third of the targets reports that it is draining, under load.
local pool = require "pool"
pool.start()
pool.startLoad(6)
runner.sleep(1500)
pool.setFaults { targets = { share = 0.34, drain = true } }
local report = pool.finishLoad()
pool.expectServed(report, 0.9)
