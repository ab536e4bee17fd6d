"""Settings for daemons that run as local processes."""

from __future__ import annotations

# The platform's settings file, with the bounds of a small deployment.
SETTINGS_TEMPLATE = """
node = "{name}"
ip = "127.0.0.1"
zone = "a"
internal-ports = [{peers}, {peers}]
[listen]
front = "127.0.0.1:{entry}"
readiness = "127.0.0.1:{readiness}"
[limits]
cpu-share = 0.5
memory-mb = 128
cores = 2
[platform]
address = "127.0.0.1:{store}"
[bounds]
drain-ms = 2000
grace-s = 6
config-ms = 2000
retry-budget-ratio = 0.2
budget-slack = 56
budget-window-s = 10
quota-window-s = 8
quota-overage = 0.1
quota-slack = 72000
lease-ms = 1000
version-ms = 8000
"""


__all__ = ['SETTINGS_TEMPLATE']
