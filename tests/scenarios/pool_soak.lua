-- Guarantee: under successive and concurrent faults no rule is violated, and jobs are served
-- again once the faults end.
-- Fault: chosen at random by the seed: processes are stopped, paused, killed and restarted;
-- connections of callers, targets and the store are delayed, reset, or stalled in one or both
-- directions; targets, store and configuration fail. `scripts/soak --only pool_soak` runs new seeds.
local pool = require "pool"
local world = require "world"
local faultSeconds = world.shortOrLong(10, 30)
local MEAN_FAULT_INTERVAL_MS = 450 -- between the starts of two faults
local RECOVERY_TIMEOUT_MS = 12000
local RECOVERED_FRACTION = 0.9 -- of the jobs submitted in a second

local function chooseOne(list) return list[math.random(#list)] end
local function randomInteger(low, high) return math.random(low, high) end
local function chooseHost() return chooseOne(pool.hosts) end
local function injectLinkFault(link)
  local fault = chooseOne {
    { reset = true }, { held = true, direction = "forward" }, { held = true, direction = "backward" },
    { held = true, direction = "both" }, { delay_ms = randomInteger(5, 400), jitter_ms = 100 } }
  link:setFaults(fault)
  return runner.encode(fault)
end

-- Each kind of fault: `chooseComponent` returns the component that it affects, `maxMs` bounds its
-- duration, `begin` and `finish` start and end it. A component has one fault at a time.
local faultKinds = {
  { name = "pause", chooseComponent = chooseHost, maxMs = 3000,
    begin = function(host) host:pause() end, finish = function(host) host:resume() end },
  { name = "kill", chooseComponent = chooseHost, maxMs = 3000,
    begin = function(host) host:kill() end, finish = function(host) host:launch() end },
  { name = "terminate", chooseComponent = chooseHost, maxMs = 500,
    begin = function(host) host:setPlannedMaintenance(true) host:signal("TERM") end,
    finish = function(host)
      local code = runner.wait(host.process, 30000)
      host:setPlannedMaintenance(false)
      world.expectEqual(code, 0, "exit code of " .. host.name)
      host:launch()
    end },
  { name = "reload", chooseComponent = chooseHost, maxMs = 300,
    begin = function(host) for _ = 1, 3 do host:signal("HUP") end end, finish = function() end },
  { name = "callers", chooseComponent = chooseHost, maxMs = 2000,
    begin = function(host) return injectLinkFault(host.callerLink) end, finish = function(host) host.callerLink:heal() end },
  { name = "store link", chooseComponent = chooseHost, maxMs = 4000,
    begin = function(host) return injectLinkFault(host.storeLink) end, finish = function(host) host.storeLink:heal() end },
  { name = "target link", chooseComponent = function() return chooseOne(pool.targetLinks) end, maxMs = 4000,
    begin = injectLinkFault, finish = function(link) link:heal() end },
  { name = "targets", chooseComponent = function() return "targets" end, maxMs = 3000,
    begin = function()
      local parameters = chooseOne { { slow = 7 }, { mute = true }, { failing = true }, { crash = true }, { late = 0.2 } }
      parameters.share = chooseOne { 0.12, 0.34, 0.67 }
      pool.setFaults { targets = parameters }
      return runner.encode(parameters)
    end,
    finish = function() pool.clearTargetFaults() end },
  { name = "store", chooseComponent = function() return "store" end, maxMs = 4000,
    begin = function()
      local parameters = chooseOne { { down = true }, { silent = true }, { slow_ms = 300 }, { loses = 0.5 }, { misses_watches = true } }
      pool.setFaults { store = parameters }
      return runner.encode(parameters)
    end,
    finish = function() pool.setFaults { store = {} } end },
  { name = "history", chooseComponent = function() return "history" end, maxMs = 100,
    begin = function() chooseOne { pool.compactHistory, pool.removeKeys }() end, finish = function() end },
}

pool.start { hosts = 4, targets = 8, isProxied = true }
pool.startLoad(faultSeconds + RECOVERY_TIMEOUT_MS / 1000 + 3, { leaving = 0.05, failing = 0.1 })
local activeFaults, timeline = {}, {}
local beginMs = runner.now()
local function logTimeline(text)
  table.insert(timeline, string.format("%6d ms %s", runner.now() - beginMs, text))
end
local function finish(component)
  logTimeline("end of " .. activeFaults[component].kind.name)
  activeFaults[component].kind.finish(component)
  activeFaults[component] = nil
end
local function check()
  local report = pool.report()
  if #report.broken > 0 then
    error("rule violations:\n" .. table.concat(report.broken, "\n") .. "\n" .. table.concat(timeline, "\n"), 2)
  end
  return report
end

local nextMs = beginMs
while runner.now() < beginMs + faultSeconds * 1000 do
  for component, fault in pairs(activeFaults) do
    if runner.now() >= fault.untilMs then finish(component) end
  end
  if runner.now() >= nextMs then
    nextMs = runner.now() + randomInteger(1, 2 * MEAN_FAULT_INTERVAL_MS)
    local kind = chooseOne(faultKinds)
    local component = kind.chooseComponent()
    if not activeFaults[component] then
      activeFaults[component] = { kind = kind, untilMs = runner.now() + randomInteger(50, kind.maxMs) }
      local detail = kind.begin(component)
      logTimeline(kind.name .. " " .. (type(component) == "table" and component.name or component) .. " " .. (detail or ""))
    end
  end
  runner.sleep(20)
  check()
end
for component in pairs(activeFaults) do finish(component) end
logTimeline("healed")

local recoveryStartMs = runner.now()
local before = check()
world.waitFor(function()
  runner.sleep(1000)
  local after = check()
  local isRecovered = after.served - before.served >= RECOVERED_FRACTION * (after.asked - before.asked) and after.asked > before.asked
  before = after
  return isRecovered
end, "jobs are served again\n" .. table.concat(timeline, "\n"), RECOVERY_TIMEOUT_MS)
logTimeline("jobs served again after " .. runner.now() - recoveryStartMs .. " ms")
pool.finishLoad()
