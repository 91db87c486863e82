"""A transaction as its listener read it, and what can be checked of it and encoded without the node's state."""

from binascii import unhexlify
from typing import NamedTuple

from .. import terms as t
from .http_status import BAD_REQUEST, METHOD_NOT_ALLOWED, HttpStatusError

_MAX_ACCOUNT_KEY = (1 << 33).to_bytes(8, "big")  # account keys are below it


class TransactionRequest(NamedTuple):
    """A transaction as its listener read it.

    Attributes:
        id: X-Request-Id.
        product: X-Class.
        plan: X-Tier.
        idempotency_key: Idempotency-Key.
        account_key: 16 hex digits.
        expires_in_ns: until its client gives up; 0 if it does not say.
        call_terms: X-Call-Terms.
        method: the method to use at the server.
        target: the request target to use at the server.
        content_type: of the body.
        body: the body.
        is_retry: its client calls it a retry.
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
    """The customer of an account key, spelt alike on all nodes. Raises HttpStatusError."""
    try:
        number = unhexlify(key)
    except ValueError:
        raise HttpStatusError(BAD_REQUEST, "no cookie key of 16 hex digits") from None
    if number >= _MAX_ACCOUNT_KEY:
        raise HttpStatusError(BAD_REQUEST, "the cookie's key is out of range")
    return key.decode().lower()


def check_method(request: TransactionRequest, product: t.Product) -> None:
    """Checks the method and the key against the product. Raises HttpStatusError."""
    if request.method != (b"GET" if product.kind == t.READ_ONLY else b"POST"):
        raise HttpStatusError(METHOD_NOT_ALLOWED, "not the method of its X-Class")
    if product.kind == t.DEDUPLICATED and not request.idempotency_key:
        raise HttpStatusError(BAD_REQUEST, "Idempotency-Key is missing")


def encode_head(request: TransactionRequest) -> bytes:
    """The head that servers get, without what differs between submissions. Raises HttpStatusError."""
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
