"""Scheduling of jobs: steps, runs, worker leases, machines, forwarding."""
