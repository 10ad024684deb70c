-- Promise: rules hold and service goes on while targets are slow, mute, failing or reborn.
-- Fault: a third of the targets, each trouble in turn.
local pool = require "pool"
pool.start { targets = 9 }
pool.run(12)
for _, trouble in ipairs { { slow = 7 }, { mute = true }, { failing = true }, { crash = true } } do
  trouble.share = 0.34
  pool.faults { targets = trouble }
  runner.sleep(2000)
  pool.healTargets()
  runner.sleep(800)
end
local report = pool.finish()
pool.expectServed(report, 0.6)
