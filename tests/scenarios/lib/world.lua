-- Library for scenarios of entry hosts: starts hosts, targets, the store and proxied links,
-- submits jobs and injects faults. Built on the table `runner` of the scenario runner.
local world = { hosts = {}, targets = {}, targetList = {}, stores = 0 }
local TIMEOUT_MS = 30000
local proxy

math.randomseed(runner.seed)

-- Waiting and assertions ----------------------------------------------------

local function waitFor(condition, description, timeoutMs)
  local untilMs = runner.now() + (timeoutMs or TIMEOUT_MS)
  while runner.now() < untilMs do
    local value = condition()
    if value then return value end
    runner.sleep(10)
  end
  error("timed out waiting for: " .. description, 2)
end
world.waitFor = waitFor

function world.expect(condition, description)
  if not condition then error("expected: " .. description, 2) end
end

function world.expectEqual(actual, expected, description)
  if actual ~= expected then
    error(description .. ": expected " .. tostring(expected) .. ", got " .. tostring(actual), 2)
  end
end

-- @returns `long` if SCENARIO_LONG is set, as by scripts/soak, else `short`, as in CI
function world.shortOrLong(short, long)
  return os.getenv("SCENARIO_LONG") and long or short
end

-- HTTP -------------------------------------------------------------------------

local function request(method, address, path, body, ...)
  local number = runner.send(method, "http://" .. address .. path, body or "", ...)
  return waitFor(function() return runner.result(number) end, method .. " " .. path, 70000)
end
world.request = request

local function awaitServer(address, path)
  waitFor(function() return request("GET", address, path).status ~= 0 end,
    "a response from " .. address .. path)
end

-- Links through the fault proxy ----------------------------------------------

local function ensureProxy()
  if proxy then return end
  proxy = runner.freeAddress()
  runner.start("proxy", "fault_proxy", "--listen", proxy, "--seed", tostring(runner.seed))
  awaitServer(proxy, "/links")
end

local Link = {}
Link.__index = Link

function Link:setFaults(faults)
  local answer = request("POST", proxy, "/links/" .. self.name, runner.encode(faults))
  world.expectEqual(answer.status, 200, "faults of " .. self.name .. " " .. answer.body)
end
-- Holds bytes back in the proxy and delivers them when the link is healed.
function Link:stall(direction) self:setFaults { held = true, direction = direction or "both" } end
-- Resets open connections, and each new one.
function Link:resetConnections() self:setFaults { reset = true } end
function Link:delay(ms, jitterMs) self:setFaults { delay_ms = ms, jitter_ms = jitterMs or 0 } end
function Link:heal()
  self:setFaults { reset = false, held = false, delay_ms = 0, jitter_ms = 0, bytes_per_second = 0, drop_after_bytes = -1 }
end

local function link(name, to)
  ensureProxy()
  local answer = request("POST", proxy, "/links", runner.encode { name = name, to = to })
  world.expectEqual(answer.status, 200, "link " .. name .. " " .. answer.body)
  return setmetatable({ name = name, address = runner.decode(answer.body).listen }, Link)
end

world.link = link

-- The store ------------------------------------------------------------------
local Store = {}
Store.__index = Store

function world.startStore(settings)
  local address = runner.freeAddress()
  local store = setmetatable({ address = address }, Store)
  store.process = runner.start("store", "store_standin", "--listen", address)
  awaitServer(address, "/admin/calls")
  world.store = store
  store:put("tarragonbridge/settings/",
    '{"settings":' .. (settings or '{"failure_domains":["curepipe","port-louis"]}') .. "}")
  store:put("tarragonbridge/settings/agents", '{"settings":{}}')
  return store
end

function Store:put(key, value)
  local body = runner.encode { key = runner.toBase64(key), value = runner.toBase64(value) }
  world.expectEqual(request("POST", self.address, "/v3/kv/put", body).status, 200, "put " .. key)
end

function Store:get(key)
  local answer = request("POST", self.address, "/v3/kv/range", runner.encode { key = runner.toBase64(key) })
  local values = runner.decode(answer.body).kvs
  return values and values[1] and runner.fromBase64(values[1].value)
end

function Store:setFaults(faults)
  world.expectEqual(request("POST", self.address, "/admin/faults", runner.encode(faults)).status, 200, "faults of the store")
end
function Store:down() self:setFaults { down = true } end
function Store:slow(ms) self:setFaults { slow_ms = ms } end
function Store:up() self:setFaults { down = false } end

-- Processes ------------------------------------------------------------------

local function addSignals(class)
  function class:signal(name)
    world.expect(runner.signal(self.process, name), self.name .. " runs")
  end
  function class:kill()
    self:signal("KILL")
    world.expect(runner.wait(self.process, TIMEOUT_MS), self.name .. " ended")
  end
  function class:pause() self:signal("STOP") end
  function class:resume() self:signal("CONT") end
end

-- Targets ----------------------------------------------------------------------

local Target = {}
Target.__index = Target
addSignals(Target)

function Target:publish(state)
  world.store:put("platform/hosts/" .. self.name, runner.encode {
    role = "target", failure_domain = self.domain, rack = self.rack, address = self.link.address,
    state = state, slots = self.slots, cores = 30, memory_mb = 65536, accelerators = 0, connections = 60 })
end

function Target:launch()
  self.process = runner.start(self.name, "target_standin", "--listen", self.address, "--slots",
    tostring(self.slots), "--speed", tostring(self.speed), "--record", runner.directory .. "/" .. self.name .. ".rec")
  awaitServer(self.address, "/v1/usage")
end

-- Starts a target behind its own proxied link; `name` is required.
function world.startTarget(options)
  local target = setmetatable({ name = options.name, domain = options.domain or "curepipe",
    rack = options.rack or "r1", slots = options.slots or 8, speed = options.speed or 1 }, Target)
  target.address = runner.freeAddress()
  target.link = link("to-" .. target.name, target.address)
  target:launch()
  target:publish("live")
  world.targets[target.name] = target
  table.insert(world.targetList, target.name)
  return target
end

function Target:starts(key) return runner.starts(self.name, key) end
function Target:mode(mode)
  world.expectEqual(request("POST", self.address, "/admin/mode", runner.encode(mode)).status, 200, "mode")
end
function Target:kill()
  runner.record("down", self.name)
  self:signal("KILL")
  world.expect(runner.wait(self.process, TIMEOUT_MS), self.name .. " ended")
end
function Target:pause()
  runner.record("down", self.name)
  self:signal("STOP")
end
-- Marks the target as leaving in the host list; the target itself doesn't report it.
function Target:listAsLeaving()
  self:publish("leaving")
  runner.record("leaving", self.name)
end

-- Entry hosts --------------------------------------------------------------------

local Host = {}
Host.__index = Host
addSignals(Host)

function Host:launch()
  self.process = runner.start(self.name, "tarragonbridged", "--config", self.config)
  waitFor(function() return request("GET", self.address, "/healthz").status == 200 end,
    self.address .. " has settings in force")
end

-- Starts an entry host. Its field `store` is the proxied link to the store, `peers` the
-- proxied link by which its peers reach it. `listed = false` leaves it out of the host list.
function world.startHost(options)
  local host = setmetatable({ name = options.name, domain = options.domain or "curepipe" }, Host)
  host.address, host.peerAddress = runner.freeAddress(), runner.freeAddress()
  host.store = link("store-of-" .. host.name, world.store.address)
  host.peers = link("peers-of-" .. host.name, host.peerAddress)
  if options.listed ~= false then host:publish("live") end
  host.config = runner.writeFile(host.name .. ".json", runner.encode {
    host = host.name, failure_domain = host.domain, listen = host.address,
    peer_listen = host.peerAddress, store = { host.store.address } })
  host:launch()
  world.hosts[host.name] = host
  return host
end

function Host:publish(state)
  world.store:put("platform/hosts/" .. self.name, runner.encode {
    role = "entry", failure_domain = self.domain, rack = "e-" .. self.name, address = self.address,
    peer_address = self.peers.address, state = state })
end

function Host:restart()
  self:kill()
  self:launch()
end

function Host:status()
  return runner.decode(request("GET", self.address, "/v1/status").body) or {}
end

-- @returns the sum of the metrics whose names match a pattern
function Host:metric(pattern)
  local sum = 0
  for line in request("GET", self.address, "/metrics").body:gmatch("[^\n]+") do
    local name, value = line:match("^(%S+) (%S+)$")
    if name and name:find(pattern) then sum = sum + tonumber(value) end
  end
  return sum
end

-- Sends SIGTERM; `waitForExit` returns the exit code.
function Host:terminate() self:signal("TERM") end
function Host:waitForExit() return runner.wait(self.process, TIMEOUT_MS) end

-- Waits until the metrics of a host show its targets and a revision of the settings.
function Host:awaitReady(targets)
  waitFor(function()
    return self:metric("^tarragonbridge_targets$") >= (targets or #world.targetList)
       and self:metric("^tarragonbridge_settings_revision$") > 0
  end, self.name .. " has its targets and settings")
end

-- Starts a store, hosts and targets, and waits until all hosts are ready.
-- @returns the hosts and targets by name
function world.start(options)
  world.startStore(options.settings)
  local started = {}
  for _, target in ipairs(options.targets or { { name = "t1" }, { name = "t2" } }) do
    started[target.name] = world.startTarget(target)
  end
  for _, host in ipairs(options.hosts or { { name = "cp-1" } }) do
    started[host.name] = world.startHost(host)
  end
  for _, host in pairs(world.hosts) do host:awaitReady() end
  return started
end

-- Callers ------------------------------------------------------------------------

local Job = {}
Job.__index = Job
local Session = {}
Session.__index = Session

function world.openSession(host)
  local answer = request("POST", host.address, "/v1/sessions", "{}")
  world.expectEqual(answer.status, 201, "session " .. answer.body)
  return setmetatable({ name = runner.decode(answer.body).session, host = host, count = 0 }, Session)
end

-- Submits a job of `tasks` tasks (default 1) that run for `run_ms` each (default 50).
function Session:submit(options)
  self.count = self.count + 1
  return world.submit(self.host, self.name .. "." .. self.count, options)
end

function world.submit(host, key, options)
  options = options or {}
  local job = setmetatable({ key = key, repeatable = options.repeatable or false, tasks = options.tasks or 1 }, Job)
  local tasks = {}
  for index = 0, job.tasks - 1 do
    table.insert(tasks, {
      payload = { run_ms = options.run_ms or 50, echo = key .. "#" .. index },
      cores = options.cores or 1, expected_ms = options.expected_ms or options.run_ms or 50 })
  end
  job.body = runner.encode {
    key = key, team = options.team or "agents", submitted_at_ms = runner.now(), home = options.home,
    time_limit_ms = options.time_limit_ms or 20000, repeatable = job.repeatable, tasks = tasks }
  job.first = job:resubmit(host)
  return job
end

-- Sends the same submission again.
-- @returns the number of its request
function Job:resubmit(host)
  return runner.submit(host.address, self.key, self.body, self.repeatable, self.tasks)
end

-- Waits for the answer to a request of the job, by default the first.
-- @returns the body with the HTTP status; `state` is "lost" if no JSON came back
function Job:answer(number)
  local result = waitFor(function() return runner.result(number or self.first) end,
    "an answer for " .. self.key, 70000)
  local body = runner.decode(result.body) or { state = "lost" }
  body.status, body.error = result.status, result.error
  return body
end

-- Resubmits to a host until the answer is final.
function Job:finalAnswerFrom(host)
  return waitFor(function()
    local answer = self:answer(self:resubmit(host))
    return (answer.state == "complete" or answer.state == "failed") and answer
  end, "a final answer for " .. self.key)
end

function Job:starts()
  local count = 0
  for _, name in ipairs(world.targetList) do count = count + runner.starts(name, self.key) end
  return count
end

function Job:awaitStarts(count)
  waitFor(function() return self:starts() >= count end, count .. " starts of " .. self.key)
end

function Job:cancel(host) return request("DELETE", host.address, "/v1/jobs/" .. self.key) end

function Job:expectComplete(number)
  local answer = self:answer(number)
  world.expectEqual(answer.state, "complete", "state of " .. self.key .. " " .. tostring(answer.reason))
  world.expectEqual(#answer.results, self.tasks, "results of " .. self.key)
end

-- Final checks -----------------------------------------------------------------------

-- Runs the checker on the records of targets and callers.
function world.check()
  local violations = runner.check(table.unpack(world.targetList))
  if #violations > 0 then error("violated guarantees:\n" .. table.concat(violations, "\n"), 2) end
end

return world
