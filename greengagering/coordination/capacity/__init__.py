"""Machines: the size of each pool, moves between pools, and upkeep."""

from greengagering.coordination.capacity._lost_workers import LostWorkerFinder
from greengagering.coordination.capacity._machine_manager import MachineManager
from greengagering.coordination.capacity._machines import DutyOrder
from greengagering.coordination.capacity._machines import DutyOutcome
from greengagering.coordination.capacity._machines import ListMachines
from greengagering.coordination.capacity._machines import Machine
from greengagering.coordination.capacity._machines import MachineCall
from greengagering.coordination.capacity._machines import MachineState

__all__ = [
    'DutyOrder',
    'DutyOutcome',
    'ListMachines',
    'LostWorkerFinder',
    'Machine',
    'MachineCall',
    'MachineManager',
    'MachineState',
]
