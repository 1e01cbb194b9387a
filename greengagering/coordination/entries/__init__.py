"""Entries: leases, feed, upstreams, routing of calls, claims."""
