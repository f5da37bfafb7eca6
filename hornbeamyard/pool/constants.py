"""Constants of the scheduling policy, with their units."""

# Time between two reports of a router, and between two lease renewals.
REPORT_INTERVAL_S = 1.0
# A regular report is sent one to three times this long before the next plan.
REPORT_AHEAD_S = 0.03
# Least time between two reports of a router that has something urgent.
URGENT_SPACING_S = 0.025
# Least time between two plans of a pool's schedule.
PLAN_SPACING_S = 0.01
# A router may use its allocation for this long after it was sent.
ALLOCATION_LEASE_S = 3.0
# Without a word from the lead controller a router asks each worker for its
# status at this interval, from this long before its lease ends, and uses
# those that were ready within the last `PROBE_VALIDITY_S`.
PROBE_INTERVAL_S = 1.0
PROBE_AHEAD_S = 1.5
PROBE_VALIDITY_S = 3.0
# Added to a lease by the controller before it reissues slots, because the
# clocks of two hosts may run at different speeds.
DRIFT_ALLOWANCE_S = 0.3
# Bounds of the horizon over which a lag in service is made up.
MIN_HORIZON_S = 2.0
MAX_HORIZON_S = 30.0
# A report leaves out an account whose service differs by at most this much
# from what follows from its last report.
SERVICE_TOLERANCE_S = 0.005
# A pool becomes contended when a router is short of slots, none is free and
# more than this fraction of them was in use, or when demand exceeds
# `CERTAIN_CONTENTION_FACTOR` times the slots. It stops being contended once
# slots have been free for `CONTENTION_END_DELAY_S`.
CONTENDED_USE_FRACTION = 0.9
CERTAIN_CONTENTION_FACTOR = 2.0
CONTENTION_END_DELAY_S = 1.5
# A router whose slots come free in less than this has no use for a message.
FAST_DRAIN_S = 0.025
# Where slots come free faster than messages are sent, those that were idle
# for this long are returned.
IDLE_WINDOW_S = 0.05
# Without contention a demand is met for this long after it was reported, as
# the router's own slots come free meanwhile. A router whose request waits
# longer than `ASK_AGAIN_S` reports it again.
FRESH_DEMAND_S = 0.3
ASK_AGAIN_S = 0.25
# With fewer free slots than this part of a pool, routers return those beyond
# their hold as soon as they are idle, not in the next regular report.
SCARCE_FRACTION = 0.03
# Time over which the rate of an account's finished requests is averaged.
RATE_WINDOW_S = 2.0
# Time over which a router's use of slots is averaged.
USAGE_WINDOW_S = 5.0
# An account that becomes backlogged may lag behind the lowest one by this
# much: a control interval's service, as no report tells whether it was idle
# between two others.
IDLE_CREDIT_S = 1.0
# An account's service may exceed the lowest one by at most this much.
DEBT_LIMIT_S = 30.0
# Requests on the priority path go first while the path's own service is not
# above the account's share; unused share is kept for this many seconds.
PRIORITY_LEAD_S = 5.0
# Accounts over their limit may use an idle slot when their requests are
# shorter than this on average, because the slot is free again before the
# schedule could give it to another router.
SHORT_REQUEST_S = 0.1
# Slot seconds for each slot that an account with short requests may save up
# or overdraw at a router.
ALLOWANCE_S = 0.1
# They may not once they lead the median by more than this; the slot is then
# returned for accounts that wait at other routers.
BORROW_LEAD_S = 1.0
# An account keeps a slot until another one lags by more than this, because
# moving a slot between routers leaves it idle for a round trip.
STICKINESS_S = 0.2
# Without contention the controller keeps one free slot for this many routers.
ROUTERS_PER_FREE_SLOT = 3
# Of the idle slots of a pool without contention, routers keep one part in
# this many; the controller keeps the rest for routers that run out.
IDLE_SLOTS_DIVISOR = 1.2
# Lags are sent to routers in steps of the mean cost, within these bounds, so
# that small changes cost no bytes.
MIN_LEAD_STEP_S = 0.2
MAX_LEAD_STEP_S = 1.0
