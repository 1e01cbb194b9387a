"""An event loop in a thread, for proxies, stand-ins and concurrent calls."""

import asyncio
from collections.abc import Coroutine
import threading
from typing import Any
from typing import TypeVar

Result = TypeVar('Result')

CALL_TIMEOUT_S = 60.0


class LoopThread:
    """Runs coroutines for steps, which are plain functions."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine and return its result."""
        return self.start(coroutine).result(CALL_TIMEOUT_S)

    def start(self, coroutine: Coroutine[Any, Any, Result]) -> Any:
        """Start a coroutine and return its concurrent future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def close(self) -> None:
        """Cancel the remaining tasks and stop the loop."""
        self.run(_cancel_others())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()


async def _cancel_others() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
