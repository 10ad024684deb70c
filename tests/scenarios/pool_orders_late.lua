-- Guarantee: a command without a response counts as in doubt, neither executed nor not
-- executed; no target exceeds its capacity.
-- Fault: a tenth of all commands gets no response and is executed seconds later; a host dies.
local pool = require "pool"
pool.start()
pool.setFaults { targets = { share = 1, late = 0.1 } }
pool.startLoad(8)
runner.sleep(3000)
pool["pool-1"]:kill()
pool["pool-1"]:launch()
local report = pool.finishLoad()
pool.expectServed(report, 0.5)
