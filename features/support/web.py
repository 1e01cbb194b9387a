"""HTTP requests for the features."""

import dataclasses
import json
import time
from typing import Any

import aiohttp

REQUEST_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True)
class Answer:
    """An HTTP response, or status 0 and the error of a failed request."""

    status: int
    fields: dict[str, str]
    body: bytes
    elapsed_s: float = 0.0
    error: str = ''

    @property
    def outcome(self) -> str:
        """Value of the outcome header, or an empty string."""
        return self.fields.get('Greengagering-Outcome', '')

    @property
    def reason(self) -> str:
        """Value of the reason header, or an empty string."""
        return self.fields.get('Greengagering-Reason', '')

    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


async def request(
    method: str,
    url: str,
    body: bytes | None = None,
    fields: dict[str, str] | None = None,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> Answer:
    """Send one request over a new connection."""
    started_s = time.monotonic()
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, url, data=body, headers=fields
            ) as response,
        ):
            content = await response.read()
            return Answer(
                response.status,
                dict(response.headers),
                content,
                time.monotonic() - started_s,
            )
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        elapsed_s = time.monotonic() - started_s
        return Answer(0, {}, b'', elapsed_s, repr(error))


def encode(value: Any) -> bytes:
    """Encode a value as JSON."""
    return json.dumps(value).encode()


def parse_answer(text: bytes) -> Answer:
    """Parse a response that was read from a plain socket."""
    head, _, body = text.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    fields = dict(line.split(': ', 1) for line in lines[1:])
    return Answer(int(lines[0].split()[1]), fields, body)
