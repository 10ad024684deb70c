-- Promise: no task of a submission starts twice; every caller gets the whole answer.
-- Fault: two failure domains are cut off from each other while a job runs; the client
-- resubmits on the other side, then the cut heals.
local world = require "world"
local w = world.start { hosts = { { name = "cp-1", domain = "curepipe" }, { name = "pl-1", domain = "port-louis" } } }
local session = world.openSession(w["cp-1"])
local job = session:submit { tasks = 3, run_ms = 500 }

job:awaitStarts(3)
w["cp-1"].peers:stall()
w["pl-1"].peers:stall()
local cutOff = job:resubmit(w["pl-1"])
job:expectComplete()
session:submit { tasks = 2 }:expectComplete()
world.openSession(w["pl-1"]):submit { tasks = 2 }:expectComplete()
local answer = job:answer(cutOff)
world.expect(answer.state ~= "complete" and not answer.not_run, "outcome unknown to the side cut off")
w["cp-1"].peers:heal()
w["pl-1"].peers:heal()

local healed = job:finalAnswerFrom(w["pl-1"])
world.expectEqual(healed.state, "complete", "state")
world.expectEqual(job:starts(), 3, "starts")
world.check()
