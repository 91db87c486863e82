"""A transaction as read by its listener, with the checks and the encoding that need no state of the node."""

from binascii import unhexlify
from typing import NamedTuple

from .. import terms as t
from .http_status import BAD_REQUEST, METHOD_NOT_ALLOWED, HttpStatusError

_MAX_ACCOUNT_KEY = (1 << 33).to_bytes(8, "big")  # exclusive upper bound of account keys


class TransactionRequest(NamedTuple):
    """A transaction as read by its listener.

    Attributes:
        id: X-Request-Id.
        product: X-Class.
        plan: X-Tier.
        idempotency_key: Idempotency-Key.
        account_key: 16 hex digits.
        expires_in_ns: the time until its client gives up; 0 if the client does not state it.
        call_terms: X-Call-Terms.
        method: the method of the request to the server.
        target: the target of the request to the server.
        content_type: the media type of the body.
        body: the body.
        is_retry: whether its client marks it as a retry.
    """

    id: bytes
    product: bytes | None
    plan: bytes | None
    idempotency_key: bytes | None
    account_key: bytes
    expires_in_ns: int
    call_terms: bytes
    method: bytes
    target: bytes
    content_type: bytes | None
    body: bytes
    is_retry: bool


def parse_account(key: bytes) -> str:
    """Returns the customer of an account key, in lower case as on all nodes. Raises HttpStatusError."""
    try:
        number = unhexlify(key)
    except ValueError:
        raise HttpStatusError(BAD_REQUEST, "no cookie key of 16 hex digits") from None
    if number >= _MAX_ACCOUNT_KEY:
        raise HttpStatusError(BAD_REQUEST, "the cookie's key is out of range")
    return key.decode().lower()


def check_method(request: TransactionRequest, product: t.Product) -> None:
    """Checks the method and the idempotency key against the product. Raises HttpStatusError."""
    if request.method != (b"GET" if product.kind == t.READ_ONLY else b"POST"):
        raise HttpStatusError(METHOD_NOT_ALLOWED, "not the method of its X-Class")
    if product.kind == t.DEDUPLICATED and not request.idempotency_key:
        raise HttpStatusError(BAD_REQUEST, "Idempotency-Key is missing")


def encode_head(request: TransactionRequest) -> bytes:
    """Encodes the head that servers get, without fields that differ between submissions. Raises HttpStatusError."""
    head = b"%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\n" % (request.method, request.target, request.id)
    if request.idempotency_key:
        head += b"Idempotency-Key: %s\r\n" % request.idempotency_key
    if request.content_type is not None:
        head += b"Content-Type: %s\r\n" % request.content_type
    if request.body and request.method == b"GET":
        raise HttpStatusError(BAD_REQUEST, "a GET has no body")
    if request.method == b"POST":
        head += b"Content-Length: %d\r\n" % len(request.body)
    return head
