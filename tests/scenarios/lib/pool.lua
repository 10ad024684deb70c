-- The words that scenarios of pool hosts are written in: the emulated platform with its
-- store, targets and callers, pool hosts as processes, and what can go wrong with them.
local world = require "world"
local pool = { hosts = {} }
local BOUND_MS = 30000

local Host = {}
Host.__index = Host

local function admin(path, order)
  local answer = world.call("POST", pool.admin, path, order and runner.encode(order) or "{}")
  world.expectEqual(answer.status, 200, path .. " " .. tostring(answer.error))
end

function pool.faults(order) admin("/faults", order) end
function pool.healTargets() pool.faults { targets = { share = 0 } } end
function pool.configure(...) admin("/configuration", { routes = { ... } }) end
function pool.compact() admin("/compact") end
function pool.revoke() admin("/revoke") end
function pool.report()
  local answer = world.call("GET", pool.admin, "/report")
  world.expectEqual(answer.status, 200, "report " .. tostring(answer.error))
  return runner.decode(answer.body)
end

-- A network of the loopback range for each scenario, so that those which run at the same
-- time don't take each other's ports.
local network = (function()
  local hash = 0
  for index = 1, #runner.directory do hash = (hash * 31 + runner.directory:byte(index)) % 62500 end
  return "127." .. 2 + hash // 250 .. "." .. 2 + hash % 250 .. "."
end)()

local function freePort() return runner.freeAddress():match(":(%d+)$") end
local function freeAddress(number) return network .. number .. ":" .. freePort() end

-- Each host has an address of its own.
local function addHost(number, domain)
  local host = setmetatable({ name = "pool-" .. number, domain = domain }, Host)
  local ip = network .. number
  local function own() return freeAddress(number) end
    host.callers, host.ready, host.control = own(), own(), own()
  local store = pool.store
  if pool.isProxied then
    host.callerLink = world.link("callers-of-" .. host.name, host.callers)
    host.storeLink = world.link("store-of-" .. host.name, store)
    store = host.storeLink.address
  end

  host.settings = runner.writeFile(host.name .. ".conf", table.concat({
    "nodeName=" .. host.name, "zone=" .. domain, "ipAddress=" .. ip,
    "listenAddresses.front=" .. host.callers, "listenAddresses.ready=" .. host.ready,
    "listenAddresses.control=" .. host.control, "platform.address=" .. store,
    "internalPortRange=" .. pool.peerPort .. "," .. pool.peerPort, "bounds.holdMaxMs=1000",
    "bounds.graceS=6", "a.field.that.is.unknown=1", "" }, "\n"))
  host:launch()
  table.insert(pool.hosts, host)
  pool[host.name] = host
  return host
end

function Host:launch()
  self.process = runner.start(self.name, "tarragonbridge-pool", "--settings", self.settings)
end
function Host:signal(name) world.expect(runner.signal(self.process, name), self.name .. " runs") end
function Host:kill()
  self:signal("KILL")
  world.expect(runner.wait(self.process, BOUND_MS), self.name .. " ended")
end
function Host:pause() self:signal("STOP") end
function Host:resume() self:signal("CONT") end
-- Ends a host by SIGTERM; nothing there may be cut off. @returns the exit code
function Host:terminate()
    self:setPlanned(true)
  self:signal("TERM")
  local code = runner.wait(self.process, BOUND_MS)
  self:setPlanned(false)
  return code
end
function Host:isReady() return world.call("GET", self.ready, "/-/readiness").status == 200 end
function Host:awaitReady() world.waitFor(function() return self:isReady() end, self.name .. " is ready") end
function Host:metric(name)
  local text = world.call("GET", self.control, "/metrics").body
  return tonumber(text:match("tarragonbridge_" .. name .. " (%d+)"))
end

-- Starts the platform and hosts in two failure domains, and waits until all are ready.
function pool.start(options)
  options = options or {}
  local platform = 200
  pool.store, pool.admin = freeAddress(platform), freeAddress(platform)
  pool.peerPort = freePort()
  local targets = {}
    for _ = 1, options.targets or 6 do table.insert(targets, freeAddress(platform)) end
  pool.isProxied, pool.targetLinks = options.isProxied, {}
  local published = {}
  for index, address in ipairs(pool.isProxied and targets or {}) do
    pool.targetLinks[index] = world.link("target-" .. index - 1, address)
    published[index] = pool.targetLinks[index].address
  end

  runner.start("platform", "platform_emulator", "--store", pool.store, "--admin", pool.admin,
    "--targets", table.concat(targets, ","), "--published", table.concat(published, ","), "--seed", tostring(runner.seed),
    "--speeds", options.speeds or "1")
  world.waitFor(function() return world.call("GET", pool.admin, "/report").status == 200 end, "the platform")
  for number = 1, options.hosts or 3 do
    addHost(number, number % 2 == 1 and "east" or "west")
  end
  for _, host in ipairs(pool.hosts) do host:awaitReady() end
  return pool
end

-- Lets callers submit jobs for a time, in the background.
function pool.run(seconds, options)
  local order = options or {}
  order.seconds, order.hosts = seconds, {}
  for _, host in ipairs(pool.hosts) do
    table.insert(order.hosts, host.callerLink and host.callerLink.address or host.callers)
  end
  admin("/run", order)
  pool.endsAtMs = runner.now() + seconds * 1000
end

-- Waits until every caller has its answer, and checks the platform's rules.
-- @returns the report
function pool.finish()
  runner.sleep(math.max(0, pool.endsAtMs - runner.now()))
  runner.sleep(1500) -- resubmissions that are due
  world.waitFor(function() return pool.report().waiting == 0 end, "all callers have their answers")
  local report = pool.report()
  if #report.broken > 0 then error("broken rules:\n" .. table.concat(report.broken, "\n"), 2) end
  world.expect(report.asked > 0, "callers asked")
  return report
end

-- Planned work begins or ends at a host: nothing there may be cut off.
function Host:setPlanned(on)
  admin("/planned", { host = self.callerLink and self.callerLink.address or self.callers, on = on })
end

-- Expects that at least a part of the jobs was served.
function pool.expectServed(report, part)
  world.expect(report.served >= part * report.asked,
    "served " .. report.served .. " of " .. report.asked .. ", at least " .. part)
end

return pool
