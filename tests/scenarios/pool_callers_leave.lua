-- Guarantee: tasks of a caller that disconnects are stopped; a resubmitted job never runs
-- beside its first submission.
-- Fault: a third of the callers disconnects before the response.
local pool = require "pool"
pool.start()
pool.startLoad(5, { leaving = 0.33, load = 2 })
local report = pool.finishLoad()
pool.expectServed(report, 0.4)
