"""Transport layer: HTTP towards the outside, links between processes.

Each role has its own public module, so that a program imports only what its
role needs.
"""
