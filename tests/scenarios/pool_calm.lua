-- Guarantee: every job gets one complete response; no rule of the platform is violated.
-- Fault: none.
local pool = require "pool"
pool.start()
pool.startLoad(4)
local report = pool.finishLoad()
pool.expectServed(report, 1)
local responses = 0
for _, host in ipairs(pool.hosts) do responses = responses + host:metric("job_response_seconds_count") end
require("world").expectEqual(responses, report.served, "jobs in the histogram of response times")
