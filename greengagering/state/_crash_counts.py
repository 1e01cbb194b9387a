"""Counts workers that crash under a task, and gives the task up."""

from greengagering.state import _jobs_model as model

CRASH_MEMORY_MS = 600_000
"""Time after a crash from which another one counts as unrelated. Workers crash
now and then without any fault of what they run."""

CRASH_LIMIT = 3
"""Workers that crash under a task before its job may fail."""

LONE_CRASH_LIMIT = 2
"""Those of them for which it must be the only suspect. One alone may be a
coincidence."""

UNANSWERED_LIMIT = 5
"""Crashes as the only suspect after which its job fails although workers
didn't confirm its start. They may have crashed before the order arrived."""


def count_crash(state: model.JobsState, record: model.LifeOver) -> None:
    """Count a worker's crash for the tasks that ran there.

    A job fails with a task that has been the only suspect often enough. The
    tasks of a step are one suspect, unless they last: they run the same, and
    their job fails with any of them.

    Args:
        state: state that is changed in place.
        record: the end of a worker's incarnation; nothing is counted unless
            it names runs.
    """
    suspects = {key.name for key in record.suspects}
    unanswered = {key.name for key in record.unanswered}
    is_alone = len({_find_unit(state, key) for key in record.suspects}) == 1
    for key in record.crashed_runs:
        task = state.find_task(key)
        if task is None or task.is_done:
            continue
        crashes = task.crashes
        if (
            crashes is None
            or record.at_ms - crashes.newest_at_ms > CRASH_MEMORY_MS
        ):
            crashes = task.crashes = model.TaskCrashes()
        crashes.newest_at_ms = max(crashes.newest_at_ms, record.at_ms)
        crashes.total += 1
        if key.name not in suspects:
            continue
        crashes.suspected += 1
        if is_alone and key.name in unanswered:
            crashes.unanswered += 1
        elif is_alone:
            crashes.alone += 1
        job = state.jobs[key.job_id]
        if _is_at_fault(crashes) and job.status is model.JobStatus.ACTIVE:
            job.status = model.JobStatus.FAILED


def _is_at_fault(crashes: model.TaskCrashes) -> bool:
    if crashes.total < CRASH_LIMIT:
        return False
    if crashes.alone >= LONE_CRASH_LIMIT:
        return True
    return crashes.alone + crashes.unanswered >= UNANSWERED_LIMIT


def _find_unit(state: model.JobsState, key: model.RunKey) -> str:
    """Return the name of the task or step that is suspected as one."""
    job = state.jobs.get(key.job_id)
    if job is None:
        return key.task_name
    step = job.spec.steps[key.step_number]
    if step.is_lasting and not step.is_gang:
        return key.task_name
    return f'{key.job_id}.{key.step_key}'
