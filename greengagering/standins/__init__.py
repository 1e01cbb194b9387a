"""Small stand-ins for external systems: upstreams and the platform.

They follow docs/INTERFACES.md and are used by greengagering-local, the tests
and the benchmarks.
"""

from greengagering.standins._platform import PlatformStandin
from greengagering.standins._upstream import UpstreamOptions
from greengagering.standins._upstream import UpstreamStandin

__all__ = ['PlatformStandin', 'UpstreamOptions', 'UpstreamStandin']
