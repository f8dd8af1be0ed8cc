"""briarrill.platform: translates between the users' platform and briarrill.

The names of the platform's fields, headers, keys and calls stand in this
folder only. docs/design/platform.md tells what runs where.
"""
