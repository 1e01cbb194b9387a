"""Which customer a call belongs to, by the key that it carries."""

from greengagering import state

NO_CUSTOMER = ''
"""Customer of a call that needs no known key, and of a job handed in by it."""

MAX_NAMED_CUSTOMERS = 20
"""Most customers that one log line names; the rest are only counted."""


class CustomerTable:
    """The customers of the plan in force, by the digest of a key."""

    def __init__(self) -> None:
        self._plan: state.RoutePlan | None = None
        self._names: dict[str, str] = {}
        self._customers: dict[str, state.Customer] = {}

    def find_customer(
        self, plan: state.RoutePlan, queue: state.Queue, key_digest: str | None
    ) -> str | None:
        """Return the name of the customer that makes a call.

        Args:
            plan: the plan in force.
            queue: the queue that is called.
            key_digest: digest of the key that the call carries, '' or None.

        Returns:
            NO_CUSTOMER if the call needs no key and has no known one. None if
            it needs one, so that it must be refused.
        """
        self._follow(plan)
        name = self._names.get(key_digest) if key_digest else None
        if name is None and (queue.is_public or not plan.customers):
            return NO_CUSTOMER
        return name

    def get(self, plan: state.RoutePlan, name: str) -> state.Customer | None:
        """Return the plan's customer of a name, or None."""
        self._follow(plan)
        return self._customers.get(name)

    def _follow(self, plan: state.RoutePlan) -> None:
        if plan is self._plan:
            return
        self._plan = plan
        self._customers = {c.name: c for c in plan.customers}
        self._names = {
            digest: customer.name
            for customer in plan.customers
            for digest in customer.key_digests
        }


def may_use(plan: state.RoutePlan, owner: str, customer: str) -> bool:
    """Tell whether a customer's calls may see and cancel a job.

    Args:
        plan: the plan in force.
        owner: the customer that handed the job in.
        customer: the customer that makes the call.
    """
    return not plan.customers or owner in (NO_CUSTOMER, customer)


def describe_change(
    former: state.RoutePlan | None, plan: state.RoutePlan
) -> dict[str, object]:
    """Return the log fields for a change of customers, {} if there is none.

    Keys appear as counts only.
    """
    before = {c.name: c for c in former.customers} if former else {}
    after = {c.name: c for c in plan.customers}
    if before == after:
        return {}
    kept = [name for name in after if name in before]
    keys_before = {d for c in before.values() for d in c.key_digests}
    keys_after = {d for c in after.values() for d in c.key_digests}
    return {
        'number': plan.number,
        'customers': len(after),
        **_list('added', [name for name in after if name not in before]),
        **_list('removed', [name for name in before if name not in after]),
        **_list(
            'limits_changed',
            [n for n in kept if before[n].limit != after[n].limit],
        ),
        **_list(
            'weights_changed',
            [n for n in kept if before[n].weight != after[n].weight],
        ),
        'keys_added': len(keys_after - keys_before),
        'keys_removed': len(keys_before - keys_after),
    }


def _list(field: str, names: list[str]) -> dict[str, object]:
    return {
        field: ','.join(names[:MAX_NAMED_CUSTOMERS]),
        f'{field}_count': len(names),
    }
