-- Guarantee: targets of an evacuated failure domain get no new tasks, its hosts go on serving
-- callers; taken back, they are used again.
-- Fault: a failure domain is evacuated under load, while one of its hosts is killed and restarted
-- and the store forgets its history; requests that name no failure domain lie beside it.
local pool = require "pool"
local world = require "world"
local function awaitEvacuated(targets)
  for _, host in ipairs(pool.hosts) do
    world.waitFor(function() return host:metric("targets_evacuated") == targets end,
      host.name .. " knows of " .. targets .. " evacuated targets")
  end
end

pool.start { hosts = 4 }
pool.startLoad(18)
runner.sleep(1000)
pool.setFaults { store = { misses_watches = true } }
pool.writeEntry("op/evacuate/nowhere", "{}")
pool.writeEntry("op/evacuate/", "{}")
pool.writeEntry("op/evacuate/east", "{}")
awaitEvacuated(3)
pool["pool-1"]:kill()
pool["pool-1"]:launch()
pool["pool-1"]:awaitReady()
awaitEvacuated(3)
pool.compactHistory()
runner.sleep(6000) -- past the bound after which a start there is a violation
pool.setFaults { store = {} }
for _, host in ipairs(pool.hosts) do
  world.expectEqual(host:metric("failure_domains_evacuated"), 1, host.name .. " knows one evacuated failure domain")
  world.expect(host:isReady(), host.name .. " takes callers")
end
pool.writeEntry("op/evacuate/east")
awaitEvacuated(0)
local report = pool.finishLoad()
pool.expectServed(report, 0.8)
