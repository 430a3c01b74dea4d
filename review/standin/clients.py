"""Stand-ins for the users' clients."""

import asyncio

from site_platform import now, read_body, read_head


async def stream(node, record, request, path, model, deadline_ms):
    """Sends a request for a stream on a new connection, and returns how it ended."""
    record.add("sent", request, path, model, "to", node.name)
    try:
        end = await asyncio.wait_for(exchange(node, request, path, model, deadline_ms),
                                     deadline_ms / 1000)
    except asyncio.TimeoutError:
        end = "deadline"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        end = f"broken off: {type(error).__name__}"
    record.add("ended", request, end)
    return end


async def exchange(node, request, path, model, deadline_ms):
    reader, writer = await asyncio.open_connection(*node.front)
    try:
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: desk.example\r\n"
            f"X-Jackdawstair-Request-Id: {request}\r\n"
            f"X-Jackdawstair-Deadline-Ms: {deadline_ms}\r\n"
            f"X-Jackdawstair-Model: {model}\r\n"
            f"X-Jackdawstair-Token-Count: 1460,100\r\n"
            f"X-Jackdawstair-Prompt-Prefix: 5c1e07a2:40,{request}:1420\r\n"
            "Content-Length: 0\r\n\r\n".encode())
        head = await read_head(reader)
        if head is None:
            return "closed without an answer"
        line, headers = head
        body = await read_body(reader, headers)
        status = line.split(" ")[1]
        if status != "200":
            return status
        return f"200 with {body.count(b'id: ')} events"
    finally:
        writer.close()
