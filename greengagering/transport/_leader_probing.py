"""Probes by which processes find the leading control replica, and answers."""

from greengagering import coordination
from greengagering import protocol
from greengagering.transport._mesh import Mesh

LEADER_PROBE_INTERVAL_S = 0.3
"""Time between two rounds of probes that look for the leader."""

LEADER_SILENCE_TIMEOUT_S = 0.6
"""Silence of the leader after which a member probes the other replicas."""

SEEKER_TIMEOUT_S = 1.0
"""Time after a process's last probe for which it is told of a new leader; a
process that seeks one probes every 0.15 s to 0.3 s."""


class LeaderProbing:
    """Finds the leader for this replica, and tells others where it is.

    Attributes:
        seeds: addresses of processes that may know the leader.
    """

    def __init__(
        self,
        settings: protocol.ControlSettings,
        core: coordination.ControlCore,
        mesh: Mesh,
    ) -> None:
        self.seeds = settings.seeds
        self._settings = settings
        self._core = core
        self._replica = core.replica
        self._mesh = mesh
        # Processes that have probed while this replica didn't lead, by their
        # address, with the time.
        self._seekers: dict[str, float] = {}
        self._is_lead_announced = False
        self._probes_sent_at_s = float('-inf')
        self._named_leader_probed_at_s = float('-inf')
        # Addresses learnt from status messages. The log of a new replica names
        # no members yet, but the replica has to answer its leader.
        self._known_addresses: dict[str, str] = {}

    def addresses(self) -> dict[str, str]:
        """Return the link addresses of the known replicas, by replica id."""
        return {
            **self._settings.members,
            **self._known_addresses,
            **self._replica.membership.addresses,
        }

    def leader_address(self, now_s: float) -> str:
        """Return the leader's link address, or '' if it is unknown."""
        if self._replica.is_leader:
            return self._settings.link_address
        is_silent = not self._replica.hears_leader(now_s)
        if is_silent or not self._replica.leader_id:
            return ''
        return self.addresses().get(self._replica.leader_id, '')

    def answer_probe(
        self,
        probe: coordination.ControlProbe,
        now_s: float,
        *,
        is_leader: bool,
    ) -> None:
        """Tell a process who leads.

        Args:
            probe: its probe.
            now_s: steady time.
            is_leader: whether this replica leads and has its lease.
        """
        if not is_leader:
            self._seekers[probe.address] = now_s
        self._send_status(
            probe.address, probe.number, now_s, is_leader=is_leader
        )

    def announce_lead(self, now_s: float, *, is_leader: bool) -> None:
        """Tell processes that seek a leader at once when this one leads."""
        if is_leader and not self._is_lead_announced:
            for address, at_s in self._seekers.items():
                if now_s < at_s + SEEKER_TIMEOUT_S:
                    self._send_status(address, 0, now_s, is_leader=True)
            self._seekers.clear()
        self._is_lead_announced = is_leader

    def handle_status(
        self, status: coordination.ControlStatus, now_s: float
    ) -> None:
        """Record a replica's address and probe the leader that it names."""
        self._known_addresses[status.replica_id] = status.address
        address = status.leader_address
        is_due = (
            now_s >= self._named_leader_probed_at_s + LEADER_PROBE_INTERVAL_S
        )
        if address in ('', self._settings.link_address) or not is_due:
            return
        if not (self._is_member() and self._replica.hears_leader(now_s)):
            self._named_leader_probed_at_s = now_s
            self._send_probe(address)

    def probe_for_leader(self, now_s: float) -> None:
        """Probe for the leader while it is silent or has not added this one.

        A replica that isn't a member sends probes even while it hears a
        leader: the leader may take it for the lost replica at the same
        address, and would never add it without a probe.
        """
        if not self.seeds or self._replica.is_leader:
            return
        if now_s < self._probes_sent_at_s + LEADER_PROBE_INTERVAL_S:
            return
        silent_at_s = self._replica.leader_heard_s + LEADER_SILENCE_TIMEOUT_S
        if self._is_member() and now_s < silent_at_s:
            return
        self._probes_sent_at_s = now_s
        known = dict.fromkeys((*self.addresses().values(), *self.seeds))
        for address in known:
            if address != self._settings.link_address:
                self._send_probe(address)

    def _is_member(self) -> bool:
        return (
            self._replica.identity.replica_id
            in self._replica.membership.members
        )

    def _send_status(
        self, address: str, number: int, now_s: float, *, is_leader: bool
    ) -> None:
        plan = self._core.state.jobs.plan
        status = coordination.ControlStatus(
            replica_id=self._replica.identity.replica_id,
            address=self._settings.link_address,
            leader_id=self._replica.leader_id,
            leader_address=self.leader_address(now_s),
            is_leader=is_leader,
            members=tuple(self.addresses().values()),
            max_body_bytes=plan.max_body_bytes if plan else 0,
            number=number,
            term=self._replica.term,
            client_limits=plan.client_limits if plan else None,
        )
        self._mesh.send(address, address, status)

    def _send_probe(self, address: str) -> None:
        replica_id = self._replica.identity.replica_id
        probe = coordination.ControlProbe(
            replica_id, self._settings.link_address, replica_id
        )
        self._mesh.send(address, address, probe)
