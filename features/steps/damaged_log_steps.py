"""Steps about replicas on the platform whose log is damaged."""

import pathlib
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.steps.platform_path_steps import end_caught_up
from features.steps.platform_path_steps import world_of
from features.steps.storage_steps import CLUSTER
from features.steps.storage_steps import copy_folder
from features.steps.storage_steps import newest_segment
from features.steps.storage_steps import REPLICA
from features.support import platform_world
from greengagering import folder_lock
from greengagering import protocol
from greengagering.state import errors
from greengagering.transport import control

OWN_ADDRESS = '127.0.0.2:80'
MAX_STEPS = 10


class ProcessEndError(Exception):
    """The process ends at a step."""


@when('replica {name} ends, its log is damaged and it starts again')
def damage_log(context: Any, name: str) -> None:
    world = world_of(context)
    end_caught_up(world, name)
    (segment,) = world.data_folder(name).glob('segment-*')
    data = bytearray(segment.read_bytes())
    data[len(data) // 3] ^= 0xFF
    segment.write_bytes(data)
    context.damaged, context.damaged_data = segment, bytes(data)
    # The settings of a first start may stay where they are.
    world.start_control(name, is_first_start=True)


@then('its damaged log is kept, and a log line names it')
def check_log_kept(context: Any) -> None:
    world = world_of(context)
    folder = world.data_folder('control-1')
    (kept,) = folder.glob(f'damaged-*/{context.damaged.name}')
    assert kept.read_bytes() == context.damaged_data
    assert (kept.parent / 'identity.json').exists()
    (line,) = [
        line
        for line in world.log_of('control-1').splitlines()
        if 'damaged_log_set_aside' in line
    ]
    assert str(kept.parent) in line, line


@then(
    'it ends with an error that names the damage, and its log is where it was'
)
def check_refused(context: Any) -> None:
    world = world_of(context)
    process = world.processes['control-1']
    assert process.wait(platform_world.WAIT_TIMEOUT_S) == 1
    assert f'{context.damaged} is damaged at' in world.log_of('control-1')
    assert context.damaged.read_bytes() == context.damaged_data


@given('a byte of its log is damaged')
def damage_byte(context: Any) -> None:
    segment = newest_segment(context.data)
    data = bytearray(segment.read_bytes())
    data[len(data) // 3] ^= 0xFF
    segment.write_bytes(data)


def control_settings(context: Any, **changes: Any) -> protocol.ControlSettings:
    """Return settings of a replica that starts in the copied folder."""
    settings = {
        'cluster_id': CLUSTER,
        'data_centre': 'praha-1',
        'data_folder': str(context.copy),
        'link_address': OWN_ADDRESS,
        'http_address': '127.0.0.2:81',
        'seeds': (OWN_ADDRESS, '127.0.0.3:80', '127.0.0.4:80'),
        'is_first_start': True,
        'platform_url': 'http://127.0.0.9:80',
    }
    return protocol.ControlSettings(**{**settings, **changes})


def files_of(folder: pathlib.Path) -> dict[str, bytes]:
    """Return the files of a log and its identity, by name."""
    return {
        file.name: file.read_bytes()
        for file in folder.iterdir()
        if file.is_file() and file.name != folder_lock.LOCK_NAME
    }


@when('the log is set aside, and the process ends at each step of it in turn')
def end_at_each_step(context: Any) -> None:
    context.starts = []
    for step in range(MAX_STEPS):
        former = files_of(copy_folder(context))
        settings = control_settings(context)
        is_cut = end_after(step, settings)
        node = control.create_control_node(settings)
        context.starts.append((context.copy, former, node))
        node.folder.close()
        if not is_cut:
            break
    assert not is_cut
    assert len(context.starts) > 3


def end_after(count: int, settings: protocol.ControlSettings) -> bool:
    """Start a replica that ends after a number of moved files, if it does."""
    moved = [0]
    rename = pathlib.Path.rename

    def move(source: pathlib.Path, target: pathlib.Path) -> pathlib.Path:
        if target.parent.name.startswith('damaged-'):
            if moved[0] == count:
                raise ProcessEndError
            moved[0] += 1
        return rename(source, target)

    with mock.patch.object(pathlib.Path, 'rename', move):
        try:
            control.create_control_node(settings).folder.close()
        except ProcessEndError:
            return True
    return False


@then('the next start is always that of a new replica without a log')
def check_new(context: Any) -> None:
    names = set()
    for _, _, node in context.starts:
        identity = node.folder.identity
        names.add(identity.replica_id)
        assert identity.replica_id.startswith('127.0.0.2-80-'), identity
        assert node.replica.term == node.replica.log.last_index == 0
        assert not node.replica.membership.voters
    assert len(names) == len(context.starts)


@then('every file of the old replica is kept')
def check_kept(context: Any) -> None:
    for folder, former, _ in context.starts:
        kept: dict[str, bytes] = {}
        for aside in folder.glob('damaged-*'):
            kept |= files_of(aside)
        assert kept == former


@when('it starts with {settings}')
def start_alone(context: Any, settings: str) -> None:
    changes: dict[str, dict[str, Any]] = {
        'no seeds': {
            'seeds': (),
            'replica_id': REPLICA,
            'members': {REPLICA: OWN_ADDRESS},
        },
        'itself as a seed': {'seeds': (OWN_ADDRESS,)},
        'one voter wanted': {'voter_count': 1},
    }
    context.former = files_of(copy_folder(context))
    context.error = None
    try:
        control.create_control_node(
            control_settings(context, **changes[settings])
        )
    except errors.DamagedSegmentError as error:
        context.error = error


@then('it is refused, and its log is where it was')
def check_not_moved(context: Any) -> None:
    assert context.error is not None
    assert files_of(context.copy) == context.former
