"""Intervals of the streams between routers and controllers."""

# Interval at which routers report their usage and the leader sends the fleet's
# usage. A shorter one costs control traffic; within an interval a router
# decides by its own counters.
USAGE_INTERVAL_S = 0.25
# Interval of the fleet's usage while nothing is asked for or running. Routers
# take it for out of date after 1 s.
IDLE_USAGE_INTERVAL_S = 0.5
# Without anything new, messages are sent at this interval as heartbeats.
HEARTBEAT_INTERVAL_S = 1.0
# A stream is closed after this long without a message.
SILENCE_TIMEOUT_S = 3.0
