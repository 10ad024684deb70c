-- Guarantee: no rule is violated and jobs are served while targets are slow, unresponsive,
-- failing or restarted.
-- Fault: a third of the targets has each of these faults in turn.
local pool = require "pool"
pool.start { targets = 9 }
pool.startLoad(12)
for _, faults in ipairs { { slow = 7 }, { mute = true }, { failing = true }, { crash = true } } do
  faults.share = 0.34
  pool.setFaults { targets = faults }
  runner.sleep(2000)
  pool.clearTargetFaults()
  runner.sleep(800)
end
local report = pool.finishLoad()
pool.expectServed(report, 0.6)
