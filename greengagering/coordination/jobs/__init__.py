"""Jobs: steps, runs, worker leases, placement, upkeep, forwarding."""
