"""One job with many due times leaves no control process in the lead."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as rig  # noqa: E402

STEPS = 16
TIMES_DUE = 10_000
TIMES_CALM = 10
HOUR_MS = 3_600_000
REST_S = 15.0
WATCHED_S = 30.0
FINISH_S = 14.0


def scheduled(times):
    """Return an hourly job whose times are all due by now."""
    now_ms = int(time.time() * 1000)
    return {
        'spec': '{"run_ms": 300}',
        'steps': [
            {'count': 1, 'cpu': 500, 'memMb': 64, 'estMs': 300}
            for _ in range(STEPS)
        ],
        'times': times,
        'firstMs': now_ms - times * HOUR_MS,
        'intervalMs': HOUR_MS,
    }


async def play(folder, has_trouble):
    """Play the case; return whether the rule was broken."""
    async with rig.World(folder) as world:
        await world.start_system()
        await world.configure(
            rig.configuration(1, [rig.route('/jobs/', 'alpha')], ['alpha'])
        )
        await world.add_workers('alpha', 8)
        await world.wait_ready()
        await asyncio.sleep(4.0)
        # The job that is asked for afterwards.
        watched = f'/jobs/{rig.new_id()}'
        await world.submit(
            watched,
            {
                'spec': '{}',
                'steps': [
                    {'count': 2, 'cpu': 1000, 'memMb': 64, 'estMs': 700,
                     'persistent': True}
                ],
            },
        )  # fmt: skip
        times = TIMES_DUE if has_trouble else TIMES_CALM
        path = f'/jobs/{rig.new_id()}'
        for _ in range(3):
            # After no answer or a 504 the same job is sent again.
            answer = await world.call_entry('POST', path, scheduled(times))
            if answer.status not in (0, 502, 504):
                break
        await asyncio.sleep(REST_S)
        return await is_unanswered(world, watched, answer)


async def is_unanswered(world, watched, handed_in):
    """Tell whether an accepted job gets no answer for FINISH_S and more."""
    began_s = world.record.now_s()
    answered_s, longest_s, asked, answers = began_s, 0.0, 0, 0
    while world.record.now_s() < began_s + WATCHED_S:
        answer = await world.call_entry('GET', watched)
        asked += 1
        now_s = world.record.now_s()
        if answer.status == 200:
            answers += 1
            answered_s = now_s
        longest_s = max(longest_s, now_s - answered_s)
        await asyncio.sleep(0.5)
    codes = [p.returncode for p in world.processes.values()]
    leads = sum(world.log_of(n).count('role=leader') for n in world.controls)
    shown = (
        f'the large job was answered {handed_in}; an accepted job was asked '
        f'for {asked} times, {answers} answers, none for '
        f'{longest_s:.1f} s; {leads} terms; exit codes {codes}'
    )
    world.record.add('case', 'result', shown=shown)
    print(shown)
    return longest_s > FINISH_S


rig.run_case(play, FOLDER)
