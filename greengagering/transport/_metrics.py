"""Prometheus metrics of each process."""

import dataclasses

from aiohttp import web
import aioprometheus
from aioprometheus import renderer

PREFIX = 'greengagering_'
CALL_SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ControlMetrics:
    """Metrics of a control process."""

    registry: aioprometheus.Registry
    tickets: aioprometheus.Counter
    is_leader: aioprometheus.Gauge
    term: aioprometheus.Gauge
    revision: aioprometheus.Gauge
    confirmed_revision: aioprometheus.Gauge
    live_entries: aioprometheus.Gauge
    out_vms: aioprometheus.Gauge
    reboot_requests: aioprometheus.Counter
    synced_bytes: aioprometheus.Gauge
    storage_fault: aioprometheus.Gauge
    jobs: aioprometheus.Counter
    refused_keys: aioprometheus.Counter
    refused_rates: aioprometheus.Counter
    accept_seconds: aioprometheus.Histogram
    start_wait_seconds: aioprometheus.Histogram
    run_ends: aioprometheus.Gauge
    lost_runs: aioprometheus.Gauge
    stopped_runs: aioprometheus.Gauge
    orders: aioprometheus.Counter
    order_seconds: aioprometheus.Histogram
    duties: aioprometheus.Counter
    workers: aioprometheus.Gauge
    waiting_tasks: aioprometheus.Gauge
    wait_seconds: aioprometheus.Gauge
    late_job_seconds: aioprometheus.Gauge
    customers_at_limit: aioprometheus.Gauge
    held_tasks: aioprometheus.Gauge
    refused_connections: aioprometheus.Counter
    loop_late_seconds: aioprometheus.Histogram


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayMetrics:
    """Metrics of an entry that forwards job calls."""

    registry: aioprometheus.Registry
    calls: aioprometheus.Counter
    call_seconds: aioprometheus.Histogram
    has_leader: aioprometheus.Gauge
    open_calls: aioprometheus.Gauge
    refused_connections: aioprometheus.Counter
    loop_late_seconds: aioprometheus.Histogram


@dataclasses.dataclass(frozen=True, slots=True)
class EntryMetrics:
    """Metrics of an entry process."""

    registry: aioprometheus.Registry
    calls: aioprometheus.Counter
    call_seconds: aioprometheus.Histogram
    wait_seconds: aioprometheus.Histogram
    retries: aioprometheus.Counter
    announcements: aioprometheus.Counter
    revision: aioprometheus.Gauge
    has_lease: aioprometheus.Gauge
    in_flight: aioprometheus.Gauge
    queued: aioprometheus.Gauge
    upstreams: aioprometheus.Gauge
    refused_connections: aioprometheus.Counter
    loop_late_seconds: aioprometheus.Histogram


def create_control_metrics() -> ControlMetrics:
    """Return the metrics of a control process in a registry of their own."""
    registry = aioprometheus.Registry()

    return ControlMetrics(
        registry=registry,
        tickets=_counter(registry, 'tickets_total', 'Tickets by outcome.'),
        is_leader=_gauge(registry, 'is_leader', '1 while this replica leads.'),
        term=_gauge(registry, 'term', 'Present term.'),
        revision=_gauge(registry, 'revision', 'Newest applied revision.'),
        confirmed_revision=_gauge(
            registry,
            'confirmed_revision',
            'Newest revision in force everywhere.',
        ),
        live_entries=_gauge(registry, 'live_entries', 'Entries with a lease.'),
        out_vms=_gauge(
            registry, 'out_vms', 'VMs that are draining, rebooting, failed.'
        ),
        reboot_requests=_counter(
            registry,
            'reboot_requests_total',
            'Requests to the platform by result.',
        ),
        synced_bytes=_gauge(
            registry, 'synced_bytes', 'Bytes written and synced.'
        ),
        storage_fault=_gauge(
            registry, 'storage_fault', '1 while the log cannot be written.'
        ),
        jobs=_counter(registry, 'jobs_total', 'Jobs handed in, by outcome.'),
        refused_keys=_counter(
            registry,
            'refused_keys_total',
            'Calls refused for their key, by kind of call and fault.',
        ),
        refused_rates=_counter(
            registry,
            'refused_rates_total',
            "Jobs refused beyond their customer's rate, by queue.",
        ),
        accept_seconds=_histogram(
            registry, 'accept_seconds', 'Time until a job is committed.'
        ),
        start_wait_seconds=_histogram(
            registry, 'start_wait_seconds', 'Time from acceptance to a start.'
        ),
        run_ends=_gauge(
            registry, 'run_ends', 'Ends of runs, by how they ended.'
        ),
        lost_runs=_gauge(
            registry, 'lost_runs', 'Runs lost with their worker, by cause.'
        ),
        stopped_runs=_gauge(
            registry, 'stopped_runs', 'Runs ordered to stop, by cause.'
        ),
        orders=_counter(
            registry, 'orders_total', 'Orders to workers, by outcome.'
        ),
        order_seconds=_histogram(
            registry, 'order_seconds', 'Time until a worker answers.'
        ),
        duties=_counter(
            registry, 'duties_total', 'Moves and upkeeps, by outcome.'
        ),
        workers=_gauge(registry, 'workers', 'Workers, by whether usable.'),
        waiting_tasks=_gauge(
            registry, 'waiting_tasks', 'Tasks that wait for a worker.'
        ),
        wait_seconds=_gauge(
            registry,
            'wait_seconds',
            'Seconds that tasks waited, by what for.',
        ),
        late_job_seconds=_gauge(
            registry,
            'late_job_seconds',
            'Seconds along the chains of late jobs, by what for.',
        ),
        customers_at_limit=_gauge(
            registry,
            'customers_at_limit',
            'Customers whose limit holds tasks back.',
        ),
        held_tasks=_gauge(
            registry,
            'held_tasks',
            'Waiting tasks that limits of customers hold back.',
        ),
        refused_connections=_refused_connections(registry),
        loop_late_seconds=_loop_late_seconds(registry),
    )


def create_gateway_metrics() -> GatewayMetrics:
    """Return the metrics of a gateway in a registry of their own."""
    registry = aioprometheus.Registry()

    return GatewayMetrics(
        registry=registry,
        calls=_counter(registry, 'calls_total', 'Calls by kind and outcome.'),
        call_seconds=_histogram(
            registry, 'call_seconds', 'Time from call to answer.'
        ),
        has_leader=_gauge(
            registry, 'has_leader', '1 while a leader is known.'
        ),
        open_calls=_gauge(
            registry, 'open_calls', 'Calls that wait for the leader.'
        ),
        refused_connections=_refused_connections(registry),
        loop_late_seconds=_loop_late_seconds(registry),
    )


def create_entry_metrics() -> EntryMetrics:
    """Return the metrics of an entry in a registry of their own."""
    registry = aioprometheus.Registry()

    return EntryMetrics(
        registry=registry,
        calls=_counter(
            registry, 'calls_total', 'Calls by service, class and outcome.'
        ),
        call_seconds=_histogram(
            registry, 'call_seconds', 'Time from call to answer.'
        ),
        wait_seconds=_histogram(
            registry, 'wait_seconds', 'Time in the queue.'
        ),
        retries=_counter(
            registry, 'retries_total', 'Attempts after the first.'
        ),
        announcements=_counter(
            registry, 'announcements_total', 'Announcements.'
        ),
        revision=_gauge(
            registry, 'revision', 'Revision that calls are served by.'
        ),
        has_lease=_gauge(
            registry, 'has_lease', '1 while new calls may be served.'
        ),
        in_flight=_gauge(registry, 'in_flight', 'Calls at upstreams.'),
        queued=_gauge(registry, 'queued', 'Calls that wait, by service.'),
        upstreams=_gauge(registry, 'upstreams', 'Upstreams known.'),
        refused_connections=_refused_connections(registry),
        loop_late_seconds=_loop_late_seconds(registry),
    )


def _loop_late_seconds(
    registry: aioprometheus.Registry,
) -> aioprometheus.Histogram:
    return _histogram(
        registry, 'loop_late_seconds', 'How late the loop is at its ticks.'
    )


def _refused_connections(
    registry: aioprometheus.Registry,
) -> aioprometheus.Counter:
    return _counter(
        registry,
        'refused_connections_total',
        'Clients refused before a handler saw a request, by server and cause.',
    )


def _counter(
    registry: aioprometheus.Registry, name: str, doc: str
) -> aioprometheus.Counter:
    return aioprometheus.Counter(PREFIX + name, doc, registry=registry)


def _gauge(
    registry: aioprometheus.Registry, name: str, doc: str
) -> aioprometheus.Gauge:
    return aioprometheus.Gauge(PREFIX + name, doc, registry=registry)


def _histogram(
    registry: aioprometheus.Registry, name: str, doc: str
) -> aioprometheus.Histogram:
    return aioprometheus.Histogram(
        PREFIX + name, doc, registry=registry, buckets=CALL_SECONDS_BUCKETS
    )


def create_metrics_app(registry: aioprometheus.Registry) -> web.Application:
    """Return an application that serves only metrics."""

    async def show(request: web.Request) -> web.Response:
        return metrics_response(registry, request)

    app = web.Application()
    app.router.add_get('/metrics', show)
    return app


def metrics_response(
    registry: aioprometheus.Registry, request: web.Request
) -> web.Response:
    """Return the metrics in a format that the client accepts."""
    accepts = request.headers.getall('Accept', [])
    content, http_headers = renderer.render(registry, accepts)
    return web.Response(body=content, headers=http_headers)
