"""Small stand-ins for the systems outside: upstreams and the platform.

They keep to docs/INTERFACES.md and serve the first try, the tests and the
benchmarks.
"""

from greengagering.standins._platform import PlatformStandin
from greengagering.standins._upstream import UpstreamOptions
from greengagering.standins._upstream import UpstreamStandin

__all__ = ['PlatformStandin', 'UpstreamOptions', 'UpstreamStandin']
