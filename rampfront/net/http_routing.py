"""Routing of requests: endpoints are declared with a decorator on their handlers and collected into a routing table.

    class Readiness:
        @endpoint("GET", "/api/ready")
        def ready(self, request): return Response(200)

        @endpoint("POST", "/api/rpc", operation="config.replace", max_body_bytes=1 << 20)
        def replace(self, request): ...

A handler returns a `Response` or a coroutine that returns one. If it returns None, it calls `request.respond` later.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple, TypeVar

from .http_messages import Headers, IncomingRequest, Response
from .http_status import BAD_REQUEST, CONTENT_TOO_LARGE, METHOD_NOT_ALLOWED, NOT_FOUND, HttpStatusError

OPERATION_PARAMETER = "call"  # the query parameter that selects an operation of a path
_MAX_QUOTED_CHARACTERS = 64
_DECLARATIONS = "_declared_endpoints"

Handler = Callable[[IncomingRequest], Response | Awaitable[Response | None] | None]
HandlerFunction = TypeVar("HandlerFunction", bound=Callable[..., Any])


class RoutingError(HttpStatusError):
    """No handler accepts the request. It was read completely, so its connection may be kept open.

    Attributes:
        headers: header fields of its response.
    """

    def __init__(self, status: int, message: str, headers: Headers = ()) -> None:
        """For `status` and `message` see `HttpStatusError`."""
        super().__init__(status, message)
        self.headers = headers


class _Declaration:
    """An endpoint declaration that `endpoint` attaches to a handler."""

    __slots__ = ("method", "path", "operation", "max_body_bytes")

    def __init__(self, method: str, path: str, operation: str | None, max_body_bytes: int | None) -> None:
        """For the parameters see `endpoint`."""
        self.method = method
        self.path = path
        self.operation = operation
        self.max_body_bytes = max_body_bytes


class _Endpoint(NamedTuple):
    """A handler, and the maximum size of its request body; None for the server's default."""

    handler: Handler
    max_body_bytes: int | None


_Methods = dict[str, _Endpoint]
_Operations = dict[str | None, _Methods]


def endpoint(
    method: str, path: str, operation: str | None = None, max_body_bytes: int | None = None
) -> Callable[[HandlerFunction], HandlerFunction]:
    """Declares a method of a handler object as an endpoint.

    Args:
        method: the HTTP method.
        path: the path.
        operation: the operation that the query selects; None if the path has only one.
        max_body_bytes: the maximum size of the request body, if it differs from the server's default.
    """

    def declare(function: HandlerFunction) -> HandlerFunction:
        """Attaches the declaration to the handler, which may have several."""
        declared = getattr(function, _DECLARATIONS, ())
        setattr(function, _DECLARATIONS, (*declared, _Declaration(method, path, operation, max_body_bytes)))
        return function

    return declare


class RoutingTable:
    """The endpoints of a server, by path, operation and method."""

    def __init__(self, owners: Iterable[object], max_body_bytes: int) -> None:
        """Collects the endpoints that are declared on the methods of `owners`.

        Args:
            owners: objects whose methods are handlers.
            max_body_bytes: the maximum body size of endpoints that declare none.

        Raises:
            ValueError: an endpoint is declared twice, or a path both with and without operations.
        """
        self._max_body_bytes = max_body_bytes
        self._paths: dict[str, _Operations] = {}
        for owner in owners:
            self._add(owner)
        for path, operations in self._paths.items():
            if None in operations and len(operations) > 1:
                raise ValueError(f"{path} is declared both with and without an operation")

    def max_body_bytes(self, target: bytes) -> int:
        """The maximum body size over all endpoints of the target's path, as the endpoint is not determined yet."""
        path = target.partition(b"?")[0].decode("latin-1")
        limits = [
            self._limit(endpoint) for methods in self._paths.get(path, {}).values() for endpoint in methods.values()
        ]
        return max(limits, default=self._max_body_bytes)

    def find(self, request: IncomingRequest) -> Handler:
        """Returns the handler of a complete request.

        Raises:
            RoutingError: there is none, or the body exceeds its limit.
        """
        methods = self._methods(request)
        if request.method not in methods:
            allow = (b"Allow", ", ".join(methods).encode())
            raise RoutingError(METHOD_NOT_ALLOWED, "not the method of this call", (allow,))
        endpoint = methods[request.method]
        if len(request.body) > self._limit(endpoint):
            raise RoutingError(CONTENT_TOO_LARGE, "the body is too large")
        return endpoint.handler

    def handler(self, method: str, path: str, operation: str | None = None) -> Handler:
        """Returns the handler of a declared endpoint. Raises KeyError if it is not declared."""
        return self._paths[path][operation][method].handler

    def _add(self, owner: object) -> None:
        """Collects the endpoints of one object."""
        for name in dir(type(owner)):
            for declaration in getattr(getattr(type(owner), name), _DECLARATIONS, ()):
                self._add_endpoint(declaration, getattr(owner, name))

    def _add_endpoint(self, declaration: _Declaration, handler: Handler) -> None:
        """Adds one endpoint. Raises ValueError if its method, path and operation are already declared."""
        method, operation = declaration.method, declaration.operation
        methods = self._paths.setdefault(declaration.path, {}).setdefault(operation, {})
        if method in methods:
            raise ValueError(f"{method} {declaration.path} {operation or ''} is declared twice")
        methods[method] = _Endpoint(handler, declaration.max_body_bytes)

    def _methods(self, request: IncomingRequest) -> _Methods:
        """Returns the endpoints of a request's path and operation, by method. Raises RoutingError."""
        operations = self._paths.get(request.path)
        if operations is None:
            raise RoutingError(NOT_FOUND, "no such call")
        if None in operations:
            return operations[None]
        name = request.query.get(OPERATION_PARAMETER)
        if name is None:
            raise RoutingError(BAD_REQUEST, "call: missing in the query")
        if name not in operations:
            raise RoutingError(NOT_FOUND, f"call: {name[:_MAX_QUOTED_CHARACTERS]!r} is not known")
        return operations[name]

    def _limit(self, endpoint: _Endpoint) -> int:
        """The maximum body size of an endpoint."""
        return self._max_body_bytes if endpoint.max_body_bytes is None else endpoint.max_body_bytes
