"""Transport layer: HTTP interfaces and links between processes.

Each role has a public module of its own, so that a program imports only what
its role needs.
"""
