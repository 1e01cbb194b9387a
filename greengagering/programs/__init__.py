"""Command-line programs: they parse arguments and start services."""
