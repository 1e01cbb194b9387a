"""Adapter to the users' platform: its names, formats and requests.

The platform's messages are converted to and from the product's own types
here only. This package takes no decisions, and no other package uses the
platform's names.
"""
