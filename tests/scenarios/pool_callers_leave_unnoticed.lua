-- Guarantee: a job whose caller left unnoticed doesn't run beside its resubmission, and callers
-- that stay are served.
-- Fault: a third of the callers leaves, and the network loses the ends of their connections. They
-- submit their jobs again while these still run. One host is paused for 0.5 s at a time.
local pool, world = require "pool", require "world"
pool.start { targets = 12 }
pool.startLoad(6, { unnoticed = 0.33, long_ms = 1700, limit_ms = 6000 })
for _ = 1, 3 do
  runner.sleep(1200)
  pool["pool-1"]:pause()
  runner.sleep(500)
  pool["pool-1"]:resume()
end
local report = pool.finishLoad()
pool.expectServed(report, 0.5)
world.expect(report.left_unnoticed > 0, "callers left unnoticed")
