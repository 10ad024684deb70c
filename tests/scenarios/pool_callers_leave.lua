-- Promise: callers that leave cost nothing after; a resubmission never meets a running copy.
-- Fault: a third of the callers breaks off before its answer.
local pool = require "pool"
pool.start()
pool.run(5, { leaving = 0.33, load = 2 })
local report = pool.finish()
pool.expectServed(report, 0.4)
