"""briarrill.coordination: parts that let processes act together.

Each module stands alone and can be embedded without the binaries.
"""
