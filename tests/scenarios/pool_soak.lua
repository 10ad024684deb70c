-- Promise: no rule breaks and service comes back, whatever goes wrong, one after the other
-- or at once.
-- Fault: drawn from a table by the seed: processes stopped, paused, killed, restarted;
-- connections of callers, targets and the store delayed, reset, held up one way; targets,
-- store and configuration in trouble. `scripts/soak --only pool_soak` plays fresh seeds.
local pool = require "pool"
local world = require "world"
local seconds = world.length(10, 30)
local SPACING_MS = 450   -- between the begins of two faults, on average
local RECOVERY_MS = 12000
local RECOVERED_PART = 0.9 -- of the jobs of a second are served again

local function one(list) return list[math.random(#list)] end
local function between(low, high) return math.random(low, high) end
local function someHost() return one(pool.hosts) end
local function linkFault(link)
  local fault = one {
    { reset = true }, { held = true, direction = "forward" }, { held = true, direction = "backward" },
    { held = true, direction = "both" }, { delay_ms = between(5, 400), jitter_ms = 100 } }
  link:set(fault)
  return runner.encode(fault)
end

-- Each kind: `what` it befalls, its longest time, its begin and its end. Of one thing only
-- one trouble at a time.
local kinds = {
  { name = "pause", what = someHost, ms = 3000,
    begin = function(host) host:pause() end, finish = function(host) host:resume() end },
  { name = "kill", what = someHost, ms = 3000,
    begin = function(host) host:kill() end, finish = function(host) host:launch() end },
  { name = "terminate", what = someHost, ms = 500,
    begin = function(host) host:setPlanned(true) host:signal("TERM") end,
    finish = function(host)
      local code = runner.wait(host.process, 30000)
      host:setPlanned(false)
      world.expectEqual(code, 0, "exit code of " .. host.name)
      host:launch()
    end },
  { name = "reload", what = someHost, ms = 300,
    begin = function(host) for _ = 1, 3 do host:signal("HUP") end end, finish = function() end },
  { name = "callers", what = someHost, ms = 2000,
    begin = function(host) return linkFault(host.callerLink) end, finish = function(host) host.callerLink:heal() end },
  { name = "store link", what = someHost, ms = 4000,
    begin = function(host) return linkFault(host.storeLink) end, finish = function(host) host.storeLink:heal() end },
  { name = "target link", what = function() return one(pool.targetLinks) end, ms = 4000,
    begin = linkFault, finish = function(link) link:heal() end },
  { name = "targets", what = function() return "targets" end, ms = 3000,
    begin = function()
      local trouble = one { { slow = 7 }, { mute = true }, { failing = true }, { crash = true }, { late = 0.2 } }
      trouble.share = one { 0.12, 0.34, 0.67 }
      pool.faults { targets = trouble }
      return runner.encode(trouble)
    end,
    finish = function() pool.healTargets() end },
  { name = "store", what = function() return "store" end, ms = 4000,
    begin = function()
      local trouble = one { { down = true }, { silent = true }, { slow_ms = 300 }, { loses = 0.5 }, { misses_watches = true } }
      pool.faults { store = trouble }
      return runner.encode(trouble)
    end,
    finish = function() pool.faults { store = {} } end },
  { name = "history", what = function() return "history" end, ms = 100,
    begin = function() one { pool.compact, pool.revoke }() end, finish = function() end },
}

pool.start { hosts = 4, targets = 8, isProxied = true }
pool.run(seconds + RECOVERY_MS / 1000 + 3, { leaving = 0.05, failing = 0.1 })
local underway, timeline = {}, {}
local beginMs = runner.now()
local function note(text)
  table.insert(timeline, string.format("%6d ms %s", runner.now() - beginMs, text))
end
local function finish(what)
  note("end of " .. underway[what].kind.name)
  underway[what].kind.finish(what)
  underway[what] = nil
end
local function check()
  local report = pool.report()
  if #report.broken > 0 then
    error("broken rules:\n" .. table.concat(report.broken, "\n") .. "\n" .. table.concat(timeline, "\n"), 2)
  end
  return report
end

local nextMs = beginMs
while runner.now() < beginMs + seconds * 1000 do
  for what, fault in pairs(underway) do
    if runner.now() >= fault.untilMs then finish(what) end
  end
  if runner.now() >= nextMs then
    nextMs = runner.now() + between(1, 2 * SPACING_MS)
    local kind = one(kinds)
    local what = kind.what()
    if not underway[what] then
      underway[what] = { kind = kind, untilMs = runner.now() + between(50, kind.ms) }
      local detail = kind.begin(what)
      note(kind.name .. " " .. (type(what) == "table" and what.name or what) .. " " .. (detail or ""))
    end
  end
  runner.sleep(20)
  check()
end
for what in pairs(underway) do finish(what) end
note("healed")

local healedMs = runner.now()
local before = check()
world.waitFor(function()
  runner.sleep(1000)
  local after = check()
  local isBack = after.served - before.served >= RECOVERED_PART * (after.asked - before.asked) and after.asked > before.asked
  before = after
  return isBack
end, "service is back\n" .. table.concat(timeline, "\n"), RECOVERY_MS)
note("served again after " .. runner.now() - healedMs .. " ms")
pool.finish()
