"""HTTP client that sends calls to upstreams."""

import dataclasses

import aiohttp
import multidict
import yarl

from greengagering import coordination
from greengagering.protocol import headers
from greengagering.transport import errors

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 10.0

# Fields that are not forwarded; besides those that HTTP calls hop-by-hop, some
# that a forwarded message can't take over. Both users still forward a field
# that is spelt exactly Content-Encoding.
HOP_BY_HOP = frozenset(
    name.lower()
    for name in (
        'Connection',
        'Keep-Alive',
        'Proxy-Authenticate',
        'Proxy-Authorization',
        'TE',
        'Trailer',
        'Transfer-Encoding',
        'Upgrade',
        'Content-Length',
        'Content-Encoding',
        'Host',
        'Expect',
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallRequest:
    """A caller's request in the form that is sent to an upstream."""

    method: str
    path_and_query: str
    fields: multidict.CIMultiDict[str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """An upstream's complete answer."""

    status: int
    fields: multidict.CIMultiDict[str]
    body: bytes


class UpstreamClient:
    """HTTP client of the upstreams."""

    def __init__(self, max_answer_bytes: int) -> None:
        self._max_answer_bytes = max_answer_bytes
        # The dispatcher limits the calls to each upstream to its slots. A
        # limit of the connector would only make calls wait where no metric
        # shows it.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=KEEPALIVE_S
            ),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send(
        self,
        target: coordination.Target,
        request: CallRequest,
        time_left_s: float,
    ) -> CallAnswer:
        """Send a request and read the complete answer.

        Raises:
            UpstreamNotReachedError: no byte of the request was sent.
            UpstreamRefusedError: the upstream reports that it did not run the
                request.
            UpstreamFailedError: the outcome is unknown.
        """
        url = yarl.URL(
            f'http://{target.address}{request.path_and_query}', encoded=True
        )
        timeout = aiohttp.ClientTimeout(
            total=time_left_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.request(
                request.method,
                url,
                headers=request.fields,
                data=request.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await self._read_answer(response)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise errors.UpstreamNotReachedError(repr(error)) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise errors.UpstreamFailedError(repr(error)) from error

    async def _read_answer(
        self, response: aiohttp.ClientResponse
    ) -> CallAnswer:
        outcome = response.headers.get(headers.OUTCOME)
        if response.status == 503 and outcome == headers.CallOutcome.NOT_RUN:
            raise errors.UpstreamRefusedError('the upstream is full')
        if not _has_delimited_body(response):
            # The end of the connection is then the only mark of the body's
            # end, so a truncated answer would look complete.
            raise errors.UpstreamFailedError(
                'the answer has neither Content-Length nor chunks, so a cut '
                'could not be told from its end'
            )
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._max_answer_bytes:
                response.close()
                raise errors.AnswerTooLargeError(
                    f'the answer is larger than {self._max_answer_bytes} bytes'
                )
        fields = multidict.CIMultiDict(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP or name == 'Content-Encoding'
        )
        return CallAnswer(response.status, fields, bytes(body))


def _has_delimited_body(response: aiohttp.ClientResponse) -> bool:
    if response.status in (204, 304) or response.method == 'HEAD':
        return True
    coding = response.headers.get('Transfer-Encoding', '')
    return 'Content-Length' in response.headers or 'chunked' in coding.lower()
