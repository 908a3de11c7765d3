"""A randomized soak of real daemons: faults from outside, promises checked after."""
