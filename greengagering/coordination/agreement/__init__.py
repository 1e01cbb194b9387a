"""Consensus of the control replicas: log, elections, members, snapshots."""
