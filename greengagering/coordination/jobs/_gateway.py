"""Forwarding of callers' job calls from an entry to the leader."""

import dataclasses

from greengagering.coordination.jobs import _job_messages as messages
from greengagering.coordination.workers import AgentOffer
from greengagering import state

PROBE_INTERVAL_S = 0.5
"""Time between two probes of a known leader."""

SEARCH_INTERVAL_S = 0.15
"""Time between two rounds of probes while no leader is known."""

LEADER_TIMEOUT_S = 1.2
"""Time without a message of the leader after which a search for a leader
begins: two missed probes."""

RESEND_S = 0.4
"""Time without an answer after which a call is sent again, perhaps to another
leader; ten times the usual answer time."""

SEARCH_TIMEOUT_S = 1.0
"""Time that a call waits for a leader to be found; elections take less."""

MAX_OPEN_CALLS = 2000
"""Maximum number of calls that wait for an answer at one entry; more are
refused."""

RETRY_AFTER_S = 0.5
"""Time after which a refused caller should retry: the length of an
election."""


@dataclasses.dataclass(slots=True)
class OpenCall:
    """A call that waits for its answer.

    Attributes:
        call: the call.
        received_at_s: when the entry received it.
        deadline_s: when it is answered at the latest.
        sent_at_s: when it was last sent to a leader, or None.
        send_count: how often it was sent to a leader, without the sends
            that were certainly not carried out.
        refused_by: processes whose refusal was taken off send_count. A second
            refusal of the same one may be a copy of the first.
    """

    call: messages.JobCall
    received_at_s: float
    deadline_s: float
    sent_at_s: float | None = None
    send_count: int = 0
    refused_by: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayOutgoing:
    """A message for a control process."""

    address: str
    message: messages.JobCall | messages.ControlProbe


class JobGateway:
    """Forwards callers' calls to the leader and returns the answers.

    The user of this class passes in calls, messages and the time, and collects
    the messages to send and the answers.

    Attributes:
        heard_at_s: when a leader's last message arrived, or minus infinity.
    """

    def __init__(
        self,
        entry_id: str,
        address: str,
        seeds: tuple[str, ...],
        boot_id: str,
        data_centre: str,
    ) -> None:
        self.entry_id = entry_id
        self.address = address
        self.is_offering = True
        self._boot_id = boot_id
        self._data_centre = data_centre
        self.leader_address = ''
        self.leader_id = ''
        self._leader_term = 0
        self.max_body_bytes = 0
        self.client_limits = state.ClientLimits()
        self.open_calls: dict[str, OpenCall] = {}
        self._seeds = seeds
        self._members: tuple[str, ...] = ()
        self.heard_at_s = float('-inf')
        self._probed_at_s = float('-inf')
        self._hint_probed_at_s = float('-inf')
        self._call_count = 0
        self._outbox: list[GatewayOutgoing] = []
        self._answers: list[messages.JobAnswer] = []

    def is_ready(self, now_s: float) -> bool:
        """Tell whether a leader with a route plan is known."""
        return self.has_leader(now_s) and self.max_body_bytes > 0

    def has_leader(self, now_s: float) -> bool:
        """Tell whether the leader's last message is recent enough."""
        is_recent = now_s < self.heard_at_s + LEADER_TIMEOUT_S
        return bool(self.leader_address) and is_recent

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses at which the search for a leader starts."""
        self._seeds = seeds

    def submit(
        self,
        kind: messages.CallKind,
        host: str,
        path: str,
        spec: state.JobSpec | None,
        deadline_s: float,
        now_s: float,
        key_digest: str = '',
        job_id: str = '',
    ) -> str:
        """Accept a call for the leader; take_answers returns its answer.

        Returns:
            The call's id.
        """
        self._call_count += 1
        # An answer for an earlier process of this entry may arrive here, so
        # call ids must differ between processes.
        call_id = f'{self._boot_id}-{self._call_count}'
        call = messages.JobCall(
            call_id,
            self.entry_id,
            self.address,
            kind,
            host,
            path,
            spec,
            key_digest,
            job_id,
        )
        if len(self.open_calls) >= MAX_OPEN_CALLS:
            self._answers.append(
                messages.JobAnswer(
                    call_id,
                    messages.JobOutcome.OVERLOADED,
                    retry_after_s=RETRY_AFTER_S,
                    detail=f'{MAX_OPEN_CALLS} calls wait for control already',
                )
            )
            return call_id
        opened = OpenCall(call, now_s, deadline_s)
        self.open_calls[call_id] = opened
        if self.has_leader(now_s):
            self._send(opened, now_s)
        return call_id

    def forget(self, call_id: str) -> None:
        """Drop a call whose caller has disconnected."""
        self.open_calls.pop(call_id, None)

    def receive(
        self,
        sender_id: str,
        message: messages.JobAnswer | messages.ControlStatus,
        now_s: float,
    ) -> None:
        """Handle a message from a control process."""
        if isinstance(message, messages.ControlStatus):
            self._handle_status(message, now_s)
            return
        opened = self.open_calls.get(message.call_id)
        if opened is None:
            return
        if message.outcome is messages.JobOutcome.UNAVAILABLE:
            # The sender doesn't lead. If it counted as the leader, the search
            # for another one begins.
            if sender_id == self.leader_id:
                self.leader_address = ''
            self._take_back_send(opened, sender_id, message)
            return
        del self.open_calls[message.call_id]
        if opened.send_count > 1 and _may_contradict(opened.call, message):
            # An earlier send may have been carried out.
            message = dataclasses.replace(
                message,
                outcome=messages.JobOutcome.UNKNOWN,
                detail=f'sent {opened.send_count} times, then refused: '
                f'{message.detail or message.outcome}',
                cause=messages.RefusalCause.NONE,
            )
        self._answers.append(message)

    def _take_back_send(
        self, opened: OpenCall, sender_id: str, message: messages.JobAnswer
    ) -> None:
        """Treat a call as not sent if its only send certainly did nothing."""
        if (
            message.is_untouched
            and opened.send_count == 1
            and sender_id not in opened.refused_by
        ):
            opened.refused_by.add(sender_id)
            opened.send_count = 0
            opened.sent_at_s = None

    def withdraw_offer(self, now_s: float) -> None:
        """Stop offering to carry orders; orders in progress are completed."""
        self.is_offering = False
        if self.leader_address:
            self._send_probe(self.leader_address, now_s)

    def step(self, now_s: float) -> None:
        """Send probes and calls that are due; answer calls that timed out."""
        self._probe(now_s)
        has_leader = self.has_leader(now_s)
        for opened in list(self.open_calls.values()):
            if now_s >= opened.deadline_s:
                self._give_up(opened)
            elif has_leader:
                is_due = (
                    opened.sent_at_s is None
                    or now_s >= opened.sent_at_s + RESEND_S
                )
                if is_due:
                    self._send(opened, now_s)
            elif opened.sent_at_s is None and (
                now_s >= opened.received_at_s + SEARCH_TIMEOUT_S
            ):
                self._give_up(opened)

    def take_outbox(self) -> list[GatewayOutgoing]:
        """Return and clear the messages to send."""
        taken = self._outbox
        self._outbox = []
        return taken

    def take_answers(self) -> list[messages.JobAnswer]:
        """Return and clear the answers for callers."""
        taken = self._answers
        self._answers = []
        return taken

    def _handle_status(
        self, status: messages.ControlStatus, now_s: float
    ) -> None:
        if status.members:
            self._members = status.members
        if status.is_leader and status.term < self._leader_term:
            # A delayed message of a former leader.
            return
        if status.is_leader:
            self._leader_term = status.term
            self.leader_address = status.address
            self.leader_id = status.replica_id
            self.max_body_bytes = status.max_body_bytes
            if status.client_limits is not None:
                self.client_limits = status.client_limits
            self.heard_at_s = now_s
            return
        # The hint may be outdated: two processes may each name the other as
        # the leader, so hints are followed at the search interval only.
        is_due = now_s >= self._hint_probed_at_s + SEARCH_INTERVAL_S
        if status.leader_address and is_due and not self.has_leader(now_s):
            self._hint_probed_at_s = now_s
            self._send_probe(status.leader_address, now_s)

    def _probe(self, now_s: float) -> None:
        has_leader = self.has_leader(now_s)
        interval_s = PROBE_INTERVAL_S if has_leader else SEARCH_INTERVAL_S
        if now_s < self._probed_at_s + interval_s:
            return
        self._probed_at_s = now_s
        if has_leader:
            self._send_probe(self.leader_address, now_s)
            return
        for address in dict.fromkeys((*self._members, *self._seeds)):
            self._send_probe(address, now_s)

    def _send_probe(self, address: str, now_s: float) -> None:
        offer = None
        if self.is_offering:
            offer = AgentOffer(
                self._boot_id, self._data_centre, now_s, reads_job_starts=True
            )
        probe = messages.ControlProbe(self.entry_id, self.address, offer=offer)
        self._outbox.append(GatewayOutgoing(address, probe))

    def _send(self, opened: OpenCall, now_s: float) -> None:
        opened.sent_at_s = now_s
        opened.send_count += 1
        self._outbox.append(GatewayOutgoing(self.leader_address, opened.call))

    def _give_up(self, opened: OpenCall) -> None:
        """Answer a call that reached its deadline or found no leader.

        A call that was sent to a leader may have been carried out, so its
        outcome is unknown, unless the receiver said that it did not lead.
        """
        del self.open_calls[opened.call.call_id]
        if opened.sent_at_s is None:
            outcome = messages.JobOutcome.UNAVAILABLE
            detail = 'no control process leads'
        else:
            outcome = messages.JobOutcome.UNKNOWN
            detail = 'control did not answer in time'
        self._answers.append(
            messages.JobAnswer(
                opened.call.call_id,
                outcome,
                retry_after_s=RETRY_AFTER_S,
                detail=detail,
            )
        )


def _may_contradict(
    call: messages.JobCall, answer: messages.JobAnswer
) -> bool:
    """Tell whether an earlier send of a refused call may have had effect.

    A call to cancel is refused for its key only; any other answer to it holds
    whether or not an earlier send was carried out.
    """
    if call.kind is messages.CallKind.SUBMIT:
        return answer.outcome is not messages.JobOutcome.DONE
    is_key_refused = answer.cause is messages.RefusalCause.UNKNOWN_KEY
    return call.kind is messages.CallKind.CANCEL and is_key_refused
