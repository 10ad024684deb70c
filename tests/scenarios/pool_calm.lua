-- Promise: every job is answered once and whole; no rule of the platform is broken.
-- Fault: none.
local pool = require "pool"
pool.start()
pool.run(4)
local report = pool.finish()
pool.expectServed(report, 1)
