"""Show the status of the fleet."""

from zinnialead_cli.fleet.documents import FleetDocument
from zinnialead_cli.fleet.merging import merge
from zinnialead_cli.fleet.tables import lay_out

__all__ = ['FleetDocument', 'lay_out', 'merge']
