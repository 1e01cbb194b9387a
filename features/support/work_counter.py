"""Counts the bytecode instructions that the product's code executes."""

from collections.abc import Iterator
import contextlib
import dataclasses
import sys
import types
from typing import Any

import greengagering

_PACKAGE = greengagering.__path__[0]


@dataclasses.dataclass
class WorkCount:
    """Number of instructions that were executed in a block."""

    instructions: int = 0


@contextlib.contextmanager
def count_work() -> Iterator[WorkCount]:
    """Count the instructions of the product's functions in a block.

    Unlike time, the count is the same in each run. Loops inside of the
    interpreter, such as `x in a_tuple`, count as one instruction.
    """
    work = WorkCount()

    def trace(frame: types.FrameType, event: str, _: Any) -> Any:
        if event == 'call':
            if not frame.f_code.co_filename.startswith(_PACKAGE):
                return None
            frame.f_trace_opcodes = True
            frame.f_trace_lines = False
        elif event == 'opcode':
            work.instructions += 1
        return trace

    former = sys.gettrace()
    sys.settrace(trace)
    try:
        yield work
    finally:
        sys.settrace(former)
