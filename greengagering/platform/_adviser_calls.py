"""HTTP client of the adviser."""

import asyncio

import aiohttp
import msgspec

from greengagering import coordination
from greengagering import logs
from greengagering.platform import _formats
from greengagering.protocol import bounds
from greengagering.protocol import errors as protocol_errors

ANSWER_TIMEOUT_S = 5.0
"""Timeout of a request; the adviser needs some time for each worker."""

SOURCE = 'advice'
MS_PER_S = 1000


class _Advice(_formats.WireModel):
    """The adviser's response.

    Attributes:
        good: id and permit of each worker on which the step may run.
    """

    good: msgspec.Raw
    validity_ms: bounds.DurationMs = 0.0


class AdviserCalls:
    """HTTP implementation of transport's AdviserClient."""

    def __init__(self, address: str) -> None:
        self._url = f'http://{address}/advise'
        self._session: aiohttp.ClientSession | None = None

    async def request_advice(
        self, request: coordination.AdviceRequest
    ) -> coordination.Advice | None:
        """Return the adviser's response, or None if the request failed."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar()
            )
        body = _formats.write_body(
            {'step': request.step_name, 'workers': [*request.life_keys]}
        )
        headers = {'Content-Type': _formats.JSON_TYPE}
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                async with self._session.post(
                    self._url, data=body, headers=headers
                ) as response:
                    data = await response.read()
                    response.raise_for_status()
            wire = _formats.read_body(data, _Advice, SOURCE)
            # A worker whose row can't be read isn't permitted.
            rows, _ = _formats.read_rows(wire.good, tuple[str, str], SOURCE)
        except (
            TimeoutError,
            aiohttp.ClientError,
            OSError,
            protocol_errors.InvalidInputError,
        ) as error:
            logs.warning(
                'no_advice', step=request.step_name, cause=repr(error)
            )
            return None
        return coordination.Advice(dict(rows), wire.validity_ms / MS_PER_S)

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
