"""A small HTTP load generator over kept connections on loopback."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import httptools

READ_SIZE = 65536
ANSWER_TIMEOUT_S = 120.0
# A router refuses requests that come faster than it can open them.
OPENING_AT_A_TIME = 20


@dataclass(slots=True)
class Answer:
    """One answer of the server under measurement."""

    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    started: anyio.Event = field(default_factory=anyio.Event)
    complete: bool = False

    def on_headers_complete(self) -> None:
        """Note that the answer has begun."""
        self.started.set()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        self.complete = True


def build_request(
    model: str, key: str, *, prompt_size: int = 1000, **fields: object
) -> bytes:
    """Return a chat completion as bytes of HTTP/1.1."""
    document = {
        "model": model,
        "messages": [{"role": "user", "content": "x" * prompt_size}],
        **fields,
    }
    body = json.dumps(document).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: 127.0.0.1\r\n"
        f"authorization: Bearer {key}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def ask(
    stream: anyio.abc.SocketStream, request: bytes, answer: Answer
) -> None:
    """Send a request and read its whole answer into `answer`.

    Raises
    ------
    RuntimeError
        When the answer's status isn't 200.
    """
    parser = httptools.HttpResponseParser(answer)
    await stream.send(request)
    while not answer.complete:
        parser.feed_data(await stream.receive(READ_SIZE))
    answer.status = parser.get_status_code()
    if answer.status != 200:
        raise RuntimeError(f"status {answer.status}: {bytes(answer.body)!r}")


async def run_callers(
    port: int, callers: int, requests: int, request: bytes
) -> list[int]:
    """Send requests from several callers, each one after the other.

    Parameters
    ----------
    port : int
    callers : int
        Connections at a time.
    requests : int
        Requests of each caller.
    request : bytes

    Returns
    -------
    list of int
        Server-sent events in each answer.
    """
    events: list[int] = []

    async def call() -> None:
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            for _ in range(requests):
                answer = Answer()
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    await ask(stream, request, answer)
                events.append(answer.body.count(b"data: "))

    async with anyio.create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(call)
    return events


async def hold_streams(
    port: int,
    streams: int,
    request: bytes,
    during: Callable[[], Awaitable[None]],
) -> int:
    """Run `during` while all of some streams are open; read them to the end.

    Returns
    -------
    int
        Streams that were complete.
    """
    complete = 0
    answers = [Answer() for _ in range(streams)]

    async def read(answer: Answer) -> None:
        nonlocal complete
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                await ask(stream, request, answer)
        complete += answer.body.endswith(b"data: [DONE]\n\n")

    async with anyio.create_task_group() as tasks:
        for number, answer in enumerate(answers):
            if number >= OPENING_AT_A_TIME:
                await answers[number - OPENING_AT_A_TIME].started.wait()
            tasks.start_soon(read, answer)
        for answer in answers:
            await answer.started.wait()
        await during()
    return complete
