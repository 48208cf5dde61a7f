"""Answer callers that wait for permission to send a request's body."""

from aiohttp import HttpVersion11, web

CONTINUE = "100-continue"


async def answer_expectation(request: web.BaseRequest) -> bool:
    """Tell the caller to send the body, if it waits for that.

    Return whether the request expects nothing else.
    """
    expectation = request.headers.get("Expect")
    if expectation is None or request.version < HttpVersion11:
        return True
    if expectation.lower() != CONTINUE:
        return False
    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    # aiohttp takes a response whose output has begun for one that can't be replaced by an error.
    request.writer.output_size = 0
    return True
