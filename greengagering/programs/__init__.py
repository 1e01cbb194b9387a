"""Command-line programs, which parse arguments and start services."""
