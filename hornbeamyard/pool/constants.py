"""Constants of the scheduling policy, with their units."""

# Time between two regular reports of a router, and between two lease
# renewals. It is also the interval at which all pools are planned.
REPORT_INTERVAL_S = 1.0
# A regular report is sent one to three times this long before the next plan.
REPORT_AHEAD_S = 0.03
# Minimum time between two reports of a router that has urgent ones.
URGENT_SPACING_S = 0.025
# Minimum time between two plans of a pool's schedule.
PLAN_SPACING_S = 0.01
# Lease of an allocation, from the time it was sent.
ALLOCATION_LEASE_S = 3.0
# A router that hears nothing from the lead controller probes each worker at
# this interval, beginning `PROBE_AHEAD_S` before its lease ends. It uses the
# workers that were ready within the last `PROBE_VALIDITY_S`.
PROBE_INTERVAL_S = 1.0
PROBE_AHEAD_S = 1.5
PROBE_VALIDITY_S = 3.0
# The controller waits this much longer than a lease before it grants slots
# again, because the clocks of two hosts may run at different speeds.
DRIFT_ALLOWANCE_S = 0.3
# Bounds of the time in which an account that is behind in service catches up.
MIN_HORIZON_S = 2.0
MAX_HORIZON_S = 30.0
# A report omits an account whose service differs by at most this much from
# what the controller derives from the last report.
SERVICE_TOLERANCE_S = 0.005
# A pool becomes contended when a router is short of slots, none is free and
# more than this fraction of them was in use, or when demand exceeds
# `CERTAIN_CONTENTION_FACTOR` times the slots. It stops being contended once
# slots have been free for `CONTENTION_END_DELAY_S`.
CONTENDED_USE_FRACTION = 0.9
CERTAIN_CONTENTION_FACTOR = 2.0
CONTENTION_END_DELAY_S = 1.5
# Where the mean time between ends of requests is below this, slots come free
# sooner than a message could bring one.
FAST_DRAIN_S = 0.025
# Where slots come free that fast, a router returns those that were idle
# for this long.
IDLE_WINDOW_S = 0.05
# Without contention slots are granted for a demand only this long after it
# was reported, because the router's own slots come free meanwhile. A router
# whose request waits longer than `ASK_AGAIN_S` reports it again.
FRESH_DEMAND_S = 0.3
ASK_AGAIN_S = 0.25
# When less than this fraction of a pool's slots is free, routers return slots
# above their target as soon as these are idle, not with the next regular
# report.
SCARCE_FRACTION = 0.03
# Time over which the rate of an account's finished requests is averaged.
RATE_WINDOW_S = 2.0
# Time over which a router's use of slots is averaged.
USAGE_WINDOW_S = 5.0
# Normalised service by which an account that becomes backlogged may be behind
# the lowest one: that of a report interval, because reports don't show
# whether it was idle between them.
IDLE_CREDIT_S = 1.0
# Maximum excess service of an account, that is its normalised service above
# the lowest account's.
DEBT_LIMIT_S = 30.0
# Requests on the priority path go first while the path's own service is
# within the account's share. Unused share is kept for this time.
PRIORITY_CREDIT_S = 5.0
# Requests below this mean cost are short. Their accounts may use an idle slot
# above their limit, because it is free again before the schedule could give
# it to another router.
SHORT_REQUEST_S = 0.1
# Slot seconds per slot that an account with short requests may save up or
# overdraw at a router.
ALLOWANCE_S = 0.1
# Accounts whose normalised service is further above the median than this
# can't use slots above their limit; the slots are returned for accounts that
# wait at other routers.
BORROW_MARGIN_S = 1.0
# An account keeps a slot until another one is behind by more than this,
# because a slot that moves between routers is idle for a round trip.
STICKINESS_S = 0.2
# Without contention the controller keeps one free slot for this many routers.
ROUTERS_PER_FREE_SLOT = 3
# Without contention the idle slots of a pool divided by this may stay with
# routers; the controller keeps the rest for routers that run out.
IDLE_SLOTS_DIVISOR = 1.2
# Excess service is sent to routers in steps of the mean cost, within these
# bounds, so that small changes cause no messages.
MIN_EXCESS_STEP_S = 0.2
MAX_EXCESS_STEP_S = 1.0
