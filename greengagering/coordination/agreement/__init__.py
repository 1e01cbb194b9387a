"""Agreement among control replicas: log, elections, members, snapshots."""
