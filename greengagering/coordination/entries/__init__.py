"""Entries: leases, feed, upstreams, routing of calls, claims.

An entry is a process that receives callers' calls and forwards them to
upstreams. LogEntry (of the replicated log) and TicketEntry (of the history of
tickets) have nothing to do with it.
"""
