"""briarrill.platform: adapters between the users' platform and briarrill.

The platform's names of fields, headers, keys and calls occur only in this
package. docs/design/platform.md lists the processes of each instance.
"""
