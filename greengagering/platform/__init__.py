"""Adapter to the users' platform: its names, formats and calls.

Wire names are decoded here, once, into the product's own types. Nothing here
decides anything, and nothing outside knows the platform's names.
"""
