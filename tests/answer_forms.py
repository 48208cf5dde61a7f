"""Describe the forms that the answer of an endpoint can have."""

import msgspec


class Form(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a complete answer."""

    head: str
    body: bytes = b""
    content: bytes = b""
    """What the caller gets of the body."""
    status: int = 200
    ends_with_connection: bool = False
    states_not_run: bool = False

    @property
    def data(self) -> bytes:
        return self.head.encode() + self.body


def with_length(content: bytes, *, line: str = "200 OK", headers: str = "") -> Form:
    return Form(
        head=f"HTTP/1.1 {line}\r\n{headers}Content-Length: {len(content)}\r\n\r\n",
        body=content,
        content=content,
        status=int(line[:3]),
    )


def in_chunks(content: bytes, *, headers: str = "", trailer: bytes = b"") -> Form:
    parts = [content[:20], content[20:]]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return Form(
        head=f"HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n",
        body=chunks + b"0\r\n" + trailer + b"\r\n",
        content=content,
    )


def until_close(content: bytes, *, version: str = "1.1", headers: str = "") -> Form:
    return Form(
        head=f"HTTP/{version} 200 OK\r\n{headers}\r\n",
        body=content,
        content=content,
        ends_with_connection=True,
    )


def after_interim(form: Form, headers: str = "") -> Form:
    return msgspec.structs.replace(
        form, head=f"HTTP/1.1 103 Early Hints\r\n{headers}\r\n{form.head}"
    )
