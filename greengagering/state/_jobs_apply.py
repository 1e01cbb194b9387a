"""Applies committed records to the state of jobs and workers.

The result depends on the records only, so all replicas hold the same state.
"""

import dataclasses
from typing import TypeVar

from greengagering.state import _crash_counts
from greengagering.state import _jobs_model as model

MAX_LAPSED = 1000
"""Most lapsed incarnations that are kept. A worker that was only cut off is
heard again within minutes, and few are cut off at the same time."""

MAX_ENDED_WORKERS = 5000
"""Most workers of which the last end is kept. It has to cover those that end
and are back within half a minute: a data centre that loses power."""

Item = TypeVar('Item')


def apply_to_jobs(state: model.JobsState, record: model.JobRecord) -> None:
    """Apply one committed record.

    Args:
        state: state that is changed in place.
        record: the record; it is ignored if the state it refers to is gone.
    """
    match record:
        case model.PlanReplaced():
            _replace_plan(state, record)
        case model.JobAccepted():
            _accept_job(state, record)
        case model.JobCancelled():
            _cancel_job(state, record.job_id)
        case model.JobsForgotten():
            for job_id in record.job_ids:
                state.jobs.pop(job_id, None)
        case model.WaveAccepted():
            state.waves.setdefault(
                record.wave.number, model.WaveState(record.wave, record.at_ms)
            )
        case model.DutyOrdered():
            state.duties[record.duty.machine] = record.duty
            state.ordered_at_ms[record.duty.machine] = record.at_ms
        case model.DutySettled():
            _close_duty(state, record)
        case _:
            _apply_to_runs(state, record)


def _apply_to_runs(state: model.JobsState, record: model.JobRecord) -> None:
    match record:
        case model.LifeSeen():
            _record_facts(state, record)
        case model.LifeDraining():
            if record.life_key in state.lives:
                state.lives[record.life_key].is_draining = True
        case model.LifeOver():
            _remove_incarnation(state, record)
            _crash_counts.count_crash(state, record)
        case model.RunsAllotted():
            _assign_runs(state, record)
        case model.RunsVoided():
            for key in record.runs:
                _remove_live_run(state, key)
        case model.EndsNoted():
            _record_ends(state, record)


def _record_facts(state: model.JobsState, record: model.LifeSeen) -> None:
    """Add an incarnation, or update the room of a known one."""
    facts = record.facts
    incarnation = state.lives.get(facts.key)
    if incarnation is None:
        noted_end = 0
        lapsed = state.lapsed.pop(facts.worker_id, None)
        if lapsed is not None and lapsed.born_ms == facts.born_ms:
            noted_end = lapsed.noted_end
        state.lives[facts.key] = model.WorkerLife(
            facts, noted_end, is_restarted=record.is_restarted
        )
        return
    incarnation.facts = dataclasses.replace(incarnation.facts, room=facts.room)


def _cancel_job(state: model.JobsState, job_id: str) -> None:
    job = state.jobs.get(job_id)
    if job is not None and job.status is model.JobStatus.ACTIVE:
        job.status = model.JobStatus.CANCELLED


def _close_duty(state: model.JobsState, record: model.DutySettled) -> None:
    duty = record.duty
    if state.duties.get(duty.machine) == duty:
        del state.duties[duty.machine]
    wave = state.waves.get(duty.wave_number)
    is_upkeep = duty.kind is model.DutyKind.UPKEEP and record.is_done
    if wave is not None and is_upkeep and duty.machine not in wave.begun:
        wave.begun.append(duty.machine)


def _assign_runs(state: model.JobsState, record: model.RunsAllotted) -> None:
    for key, life_key in zip(record.runs, record.life_keys, strict=True):
        _assign_run(state, key, life_key)


def _replace_plan(state: model.JobsState, record: model.PlanReplaced) -> None:
    plan, present = record.plan, state.plan
    is_newer = present is None or plan.number > present.number
    is_same = present is not None and (
        (plan.number, plan.source) == (present.number, present.source)
    )
    if is_newer or (record.is_reread and is_same):
        state.plan = plan


def _accept_job(state: model.JobsState, record: model.JobAccepted) -> None:
    state.jobs.setdefault(
        record.spec.job_id,
        model.Job(
            record.spec,
            record.queue,
            record.at_ms,
            customer=record.customer,
        ),
    )


def _remove_incarnation(
    state: model.JobsState, record: model.LifeOver
) -> None:
    incarnation = state.lives.pop(record.life_key, None)
    if incarnation is None:
        return
    facts = incarnation.facts
    _put_newest(
        state.ended_workers,
        facts.worker_id,
        facts.born_ms,
        MAX_ENDED_WORKERS,
    )
    if record.cause == model.LEASE_LAPSED and incarnation.noted_end:
        lapsed = model.LapsedLife(facts.born_ms, incarnation.noted_end)
        _put_newest(state.lapsed, facts.worker_id, lapsed, MAX_LAPSED)
    for key in incarnation.runs.values():
        task = state.find_task(key)
        if task is not None:
            task.live_runs.pop(key.run, None)
            _drop_done_task(state.jobs[key.job_id], key.task)


def _put_newest(
    items: dict[str, Item], key: str, item: Item, most: int
) -> None:
    """Put an item last, and drop the first one beyond a number of items."""
    items.pop(key, None)
    items[key] = item
    if len(items) > most:
        # The first key is the oldest, on every replica.
        del items[next(iter(items))]


def _assign_run(
    state: model.JobsState, key: model.RunKey, life_key: str
) -> None:
    job = state.jobs.get(key.job_id)
    incarnation = state.lives.get(life_key)
    if job is None or incarnation is None:
        return
    job.has_started = True
    task = job.tasks.get(key.task)
    if task is None:
        # The tasks of a done occurrence aren't stored any more.
        is_done = job.is_step_done(key.occurrence, key.step_number)
        task = job.tasks[key.task] = model.Task(is_done=is_done)
    task.run = max(task.run, key.run)
    task.live_runs[key.run] = life_key
    incarnation.runs[key.name] = key


def _remove_live_run(state: model.JobsState, key: model.RunKey) -> None:
    task = state.find_task(key)
    if task is None:
        return
    incarnation = state.lives.get(task.live_runs.pop(key.run, ''))
    if incarnation is not None:
        incarnation.runs.pop(key.name, None)
    _drop_done_task(state.jobs[key.job_id], key.task)


def _record_ends(state: model.JobsState, record: model.EndsNoted) -> None:
    incarnation = state.lives.get(record.life_key)
    if incarnation is None:
        return
    gang_progress: dict[tuple[str, str], str] = {}
    for end in record.ends:
        if end.number > incarnation.noted_end:
            incarnation.noted_end = end.number
            incarnation.runs.pop(end.key.name, None)
            _record_end(state, end, gang_progress)
    for (job_id, step_key), saved in gang_progress.items():
        _save_gang_progress(state.jobs[job_id], step_key, saved)


def _record_end(
    state: model.JobsState,
    end: model.RunEnd,
    gang_progress: dict[tuple[str, str], str],
) -> None:
    """Record one end of a run.

    Args:
        state: state that is changed in place.
        end: the end.
        gang_progress: collects the progress that gangs have saved last, by
            job id and step key. It is copied to all tasks of a gang, and that
            is done once a record.
    """
    job = state.jobs.get(end.key.job_id)
    task = job.tasks.get(end.key.task) if job is not None else None
    if job is None or task is None:
        return
    task.live_runs.pop(end.key.run, None)
    if job.is_known_done(end.key.occurrence):
        _drop_done_task(job, end.key.task)
        return
    step_key = end.key.step_key
    step = job.spec.steps[end.key.step_number]
    if end.saved and step.is_gang:
        gang_progress[end.key.job_id, step_key] = end.saved
    elif end.saved:
        task.saved = end.saved
    if end.ending in (model.RunEnding.DONE, model.RunEnding.FAILED):
        # It has run to an end of its own without crashing its worker.
        task.crashes = None
    if step.is_lasting:
        return
    if end.ending is model.RunEnding.DONE:
        _finish_tasks(job, step, step_key, end)
    elif end.ending is model.RunEnding.FAILED:
        _count_failure(job, step, step_key, task)


def _save_gang_progress(job: model.Job, step_key: str, saved: str) -> None:
    occurrence, number = map(int, step_key.split('.'))
    if job.is_known_done(occurrence):
        return
    step = job.spec.steps[number]
    for member in _step_tasks(job, step, step_key):
        member.saved = saved


def _step_tasks(
    job: model.Job, step: model.StepSpec, step_key: str
) -> list[model.Task]:
    return [
        job.tasks.setdefault(f'{step_key}.{index}', model.Task())
        for index in range(step.task_count)
    ]


def _finish_tasks(
    job: model.Job, step: model.StepSpec, step_key: str, end: model.RunEnd
) -> None:
    if job.is_step_done(end.key.occurrence, end.key.step_number):
        return
    done_count = job.done_counts.get(step_key, 0)
    if job.done_step_count < 0:
        job.done_step_count = _count_done_steps(job)
    if step.is_gang:
        # The end of one member completes the tasks of all members.
        finished = _step_tasks(job, step, step_key)
    else:
        finished = [job.tasks[end.key.task]]
    for task in finished:
        if not task.is_done:
            task.is_done = True
            done_count += 1
    job.done_counts[step_key] = done_count
    if done_count < step.task_count:
        return
    job.done_step_count += 1
    if job.status is model.JobStatus.ACTIVE and _is_complete(job):
        job.status = model.JobStatus.SUCCEEDED
    if job.spec.occurrence_count > 1:
        _compact_occurrence(job, end.key.occurrence)


def _compact_occurrence(job: model.Job, occurrence: int) -> None:
    """Keep of an occurrence that is done only that it is.

    A job may have thousands of occurrences, so what is stored of it, and read
    when a term begins, must not grow with those that are done.
    """
    if not job.is_occurrence_done(occurrence):
        return
    job.done_later.add(occurrence)
    for number, step in enumerate(job.spec.steps):
        step_key = f'{occurrence}.{number}'
        job.done_counts.pop(step_key, None)
        for index in range(step.task_count):
            _drop_done_task(job, f'{step_key}.{index}')
    while job.done_first in job.done_later:
        job.done_later.remove(job.done_first)
        job.done_first += 1


def _drop_done_task(job: model.Job, task_key: str) -> None:
    """Drop a task of an occurrence that is known to be done.

    One with a run that still has to end is stored until then.
    """
    task = job.tasks.get(task_key)
    if task is None or task.live_runs:
        return
    if job.is_known_done(int(task_key.partition('.')[0])):
        del job.tasks[task_key]


def _count_done_steps(job: model.Job) -> int:
    return sum(
        done_count >= job.spec.steps[int(key.rpartition('.')[2])].task_count
        for key, done_count in job.done_counts.items()
    )


def _is_complete(job: model.Job) -> bool:
    step_count = len(job.spec.steps) * job.spec.occurrence_count
    return job.done_step_count >= step_count


def _count_failure(
    job: model.Job, step: model.StepSpec, step_key: str, task: model.Task
) -> None:
    if task.is_done:
        return
    task.failed_runs += 1
    failed_runs = task.failed_runs
    if step.is_gang:
        # The members end together, and only the member at fault counts a
        # failed run, so the limit applies to the sum over all members.
        members = _step_tasks(job, step, step_key)
        failed_runs = sum(member.failed_runs for member in members)
    is_over = failed_runs >= job.queue.attempt_limit
    if is_over and job.status is model.JobStatus.ACTIVE:
        job.status = model.JobStatus.FAILED
