"""Send HTTP requests over pooled connections, each at most once."""

from zinnialead_gateway.http.client.models import Connection
from zinnialead_gateway.http.client.models import EndlessError
from zinnialead_gateway.http.client.models import Headers
from zinnialead_gateway.http.client.models import MalformedError
from zinnialead_gateway.http.client.models import Pool
from zinnialead_gateway.http.client.models import ProtocolError
from zinnialead_gateway.http.client.models import Request
from zinnialead_gateway.http.client.models import Response
from zinnialead_gateway.http.client.models import ResponseHead
from zinnialead_gateway.http.client.models import UnsendableError
from zinnialead_gateway.http.client.pool import acquire
from zinnialead_gateway.http.client.pool import close
from zinnialead_gateway.http.client.pool import close_idle
from zinnialead_gateway.http.client.pool import open_connection
from zinnialead_gateway.http.client.pool import release
from zinnialead_gateway.http.client.pool import watch_idle
from zinnialead_gateway.http.client.requests import send
from zinnialead_gateway.http.client.responses import expect_another_response
from zinnialead_gateway.http.client.responses import receive
from zinnialead_gateway.http.client.responses import receive_body
from zinnialead_gateway.http.client.responses import receive_head
from zinnialead_gateway.http.client.responses import skip_body

__all__ = [
    'Connection',
    'EndlessError',
    'Headers',
    'MalformedError',
    'Pool',
    'ProtocolError',
    'Request',
    'Response',
    'ResponseHead',
    'UnsendableError',
    'acquire',
    'close',
    'close_idle',
    'expect_another_response',
    'open_connection',
    'receive',
    'receive_body',
    'receive_head',
    'release',
    'send',
    'skip_body',
    'watch_idle',
]
