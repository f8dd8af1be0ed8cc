"""briarrill.coordination: coordination between the processes of a fleet.

Each module can be used without the programs of this project.
"""
