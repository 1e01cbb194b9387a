"""Errors of the transport layer."""


class TransportError(Exception):
    """Base class of every error that the transport layer raises."""


class ListenError(TransportError):
    """A server can't listen on its address."""


class LinkError(TransportError):
    """A link to another process broke."""


class UpstreamNotReachedError(TransportError):
    """No byte of a request reached the upstream."""


class UpstreamRefusedError(TransportError):
    """The upstream refused the request before it started."""


class UpstreamFailedError(TransportError):
    """The upstream may have run the request but sent no complete answer."""


class AnswerTooLargeError(UpstreamFailedError):
    """The upstream's answer is larger than the settings allow."""


class PlatformError(TransportError):
    """The platform refused a request or could not be reached."""


class ControlUnavailableError(TransportError):
    """Control could not complete an operator's request in time."""
