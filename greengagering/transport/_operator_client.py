"""Client of the operators' interface; finds the leading control process."""

import asyncio
import dataclasses
import time
from typing import TypeVar
import urllib.parse

import aiohttp

from greengagering.protocol import errors as protocol_errors
from greengagering.protocol import pages
from greengagering.transport import errors

Page = TypeVar('Page')

REQUEST_TIMEOUT_S = 5.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Status and body of an answer."""

    address: str
    status: int
    body: bytes


class OperatorClient:
    """Tries each address in turn until a process answers as the leader.

    Requests can be repeated safely: reading changes nothing, and a ticket
    that is submitted again gets the same answer as the first time.
    """

    def __init__(self, addresses: tuple[str, ...], timeout_s: float) -> None:
        self._addresses = addresses
        self._timeout_s = timeout_s

    async def get(self, path: str, kind: type[Page]) -> Page:
        """Return a page.

        Raises:
            ControlUnavailableError: no process answered in time.
            InvalidInputError: the request was refused; holds the reason.
        """
        return await self._request('GET', path, None, kind)

    async def post(self, path: str, body: bytes, kind: type[Page]) -> Page:
        """Send a body and return the page that answers it.

        Raises:
            ControlUnavailableError: no process answered in time.
            InvalidInputError: the body was refused; holds the reason.
        """
        return await self._request('POST', path, body, kind)

    async def _request(
        self, method: str, path: str, body: bytes | None, kind: type[Page]
    ) -> Page:
        ends_s = time.monotonic() + self._timeout_s
        delay_s = RETRY_MIN_S
        causes: dict[str, str] = {}
        async with aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        ) as session:
            while True:
                for address in self._addresses:
                    answer = await _request_from(
                        session, method, address, path, body, causes
                    )
                    if answer is not None:
                        return _parse_page(answer, kind)
                if time.monotonic() + delay_s > ends_s:
                    raise errors.ControlUnavailableError(_describe(causes))
                await asyncio.sleep(delay_s)
                delay_s = min(delay_s * 2, RETRY_MAX_S)


def quote(name: str) -> str:
    """Return a name as one segment of a path."""
    return urllib.parse.quote(name, safe='')


async def _request_from(
    session: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    body: bytes | None,
    causes: dict[str, str],
) -> _Answer | None:
    """Send a request to one process.

    Returns:
        The answer, or None if another process should be tried. The reason is
        then added to causes.
    """
    try:
        async with session.request(
            method, f'http://{address}{path}', data=body
        ) as response:
            content = await response.read()
            answer = _Answer(address, response.status, content)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        causes[address] = str(error) or type(error).__name__
        return None
    if answer.status == 503:
        causes[address] = _error_page(answer).message
        return None
    return answer


def _parse_page(answer: _Answer, kind: type[Page]) -> Page:
    if answer.status == 200:
        return pages.decode_page(answer.body, kind, answer.address)
    page = _error_page(answer)
    fields = list(page.fields)
    if not fields:
        fields = [
            protocol_errors.FieldError('(request)', page.kind, page.message)
        ]
    source = f'refused by {answer.address} ({page.kind})'
    raise protocol_errors.InvalidInputError(source, fields)


def _error_page(answer: _Answer) -> pages.ErrorPage:
    try:
        return pages.decode_page(answer.body, pages.ErrorPage, answer.address)
    except protocol_errors.InvalidInputError:
        text = answer.body[:200].decode(errors='replace')
        return pages.ErrorPage(f'status {answer.status}', text)


def _describe(causes: dict[str, str]) -> str:
    # A process that answered 503 is listed too, with its message.
    lines = ['no control process answered for the cluster']
    lines += [f'  {address}: {cause}' for address, cause in causes.items()]
    return '\n'.join(lines)
