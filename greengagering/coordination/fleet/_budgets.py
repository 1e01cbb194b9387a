"""Checks of availability budgets before a VM is drained."""

import dataclasses

from greengagering import state

DEFAULT_MIN_AVAILABLE_VMS = 1


@dataclasses.dataclass(slots=True)
class ServiceCount:
    """Availability of the VMs of one service.

    Attributes:
        available: number of VMs that serve.
        out: number of VMs that don't serve, for any reason; this includes VMs
            in phase SERVING, which FleetState.out_vms doesn't.
        out_by_data_centre: the same number by data centre.
    """

    available: int = 0
    out: int = 0
    out_by_data_centre: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


class AvailabilityTracker:
    """Counts the available VMs of each service and keeps the counts current.

    The fleet is counted once, on creation; drains are added by mark_out.
    """

    def __init__(
        self, fleet: state.FleetState, available_vms: frozenset[str]
    ) -> None:
        self._fleet = fleet
        self._available = set(available_vms)
        self._counts: dict[str, ServiceCount] = {}
        for vm in fleet.vms.values():
            self._count(vm)

    def find_problem(self, vm: state.Vm) -> str:
        """Return the reason why a VM may not be drained now, or ''.

        Draining a VM that is unavailable already costs no availability, but
        it would delay its return, so it is refused too while its service is
        below its minimum.
        """
        service = self._service_of(vm)
        budget = self._budget_of(service)
        count = self._counts[service]
        cost = int(vm.name in self._available)
        if count.available - cost < budget.min_available_vms:
            return (
                f'service {service} has {count.available} VMs available and '
                f'must keep {budget.min_available_vms}'
            )
        limit = budget.max_out_vms
        if limit is not None and count.out + cost > limit:
            return (
                f'service {service} has {count.out} VMs out and may have '
                f'{limit}'
            )
        return self._find_data_centre_problem(vm, budget, count, cost)

    def mark_out(self, vm: state.Vm) -> None:
        """Count a VM as out of service."""
        if vm.name not in self._available:
            return
        self._available.remove(vm.name)
        count = self._counts[self._service_of(vm)]
        count.available -= 1
        self._count_out(vm, count)

    def counts(self) -> dict[str, ServiceCount]:
        """Return the current counts by service."""
        return self._counts

    def _find_data_centre_problem(
        self,
        vm: state.Vm,
        budget: state.Budget,
        count: ServiceCount,
        cost: int,
    ) -> str:
        limit = budget.max_out_per_data_centre_vms
        if limit is None or vm.facts is None:
            return ''
        data_centre = vm.facts.data_centre
        out = count.out_by_data_centre.get(data_centre, 0)
        if out + cost <= limit:
            return ''
        return (
            f'service {budget.service} has {out} VMs out in data centre '
            f'{data_centre} and may have {limit}'
        )

    def _count(self, vm: state.Vm) -> None:
        count = self._counts.setdefault(self._service_of(vm), ServiceCount())
        if vm.name in self._available:
            count.available += 1
        else:
            self._count_out(vm, count)

    def _count_out(self, vm: state.Vm, count: ServiceCount) -> None:
        count.out += 1
        if vm.facts is not None:
            data_centre = vm.facts.data_centre
            by_data_centre = count.out_by_data_centre
            by_data_centre[data_centre] = (
                by_data_centre.get(data_centre, 0) + 1
            )

    def _service_of(self, vm: state.Vm) -> str:
        return self._fleet.pools[vm.pool].service

    def _budget_of(self, service: str) -> state.Budget:
        budget = self._fleet.budgets.get(service)
        if budget is not None:
            return budget
        return state.Budget(
            service=service, min_available_vms=DEFAULT_MIN_AVAILABLE_VMS
        )
