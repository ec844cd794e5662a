"""The node as a process, with stand-ins for engines and discovery in the event loop of the test."""

import asyncio
import contextlib
import json
import os
import resource
import subprocess
import sys

from onenode import Client, config, encode_chunk, list_update, target

from lifthead.standins.faults.fleet import free_port

READY_REQUEST = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"


def free_address():
    """Returns an address that nobody uses, and that the system gives to no other socket meanwhile."""
    return f"127.0.0.1:{free_port()}"


def start_process(path, listen, discovery, max_descriptors=1024, cores=(), memory_mb=192, **more):
    """Starts a node process with a limit on descriptors, on these cores only. It is told its memory limit."""
    limits = {"sockets": max_descriptors, "memory_mb": memory_mb}
    config_document = config(listen=listen, discovery=discovery, limits=limits, **more)
    path.write_text(json.dumps(config_document))

    def limit_resources():
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))
        if cores:
            os.sched_setaffinity(0, cores)

    return subprocess.Popen(
        [sys.executable, "-B", "-m", "lifthead.node"],
        env={**os.environ, "NODE_CONFIG": str(path)}, preexec_fn=limit_resources, stderr=subprocess.DEVNULL,
    )  # fmt: skip


class NodeProcess:
    """A node process that is ready and knows these engines."""

    def __init__(self, path, more=None, **engines):
        """`more`: further fields of the configuration."""
        self._path, self._more, self.engines = path, more or {}, engines
        self.discovery, self.servers, self.addresses = DiscoveryServer(), [], {}

    async def __aenter__(self):
        for uid, engine in self.engines.items():
            server = await asyncio.start_server(engine.connection, "127.0.0.1", 0)
            self.servers.append(server)
            self.addresses[uid] = "{}:{}".format(*server.sockets[0].getsockname())
        await self.discovery.up(*(target(uid, at) for uid, at in self.addresses.items()))
        self.listen = free_address()
        path = self._path / "config.json"
        self.process = start_process(path, self.listen, self.discovery.address, **self._more)
        await wait_until_ready(self.listen, 10.0)
        return self

    async def __aexit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.discovery.down()
        for server in self.servers:
            server.close()

    async def exited(self, within):
        """Returns the exit code and the seconds until the exit; raises TimeoutError if it takes longer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.timeout(within):
            while self.process.poll() is None:
                await asyncio.sleep(0.01)
        return self.process.returncode, loop.time() - began


@contextlib.contextmanager
def killed_at_end(*processes):
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


async def wait_until_ready(listen, within):
    """Waits until the node reports that it is ready, and returns the seconds that took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.timeout(within):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with Client(listen) as client:
                    await client.send(READY_REQUEST)
                    if (await client.answer())[0] == 200:
                        return loop.time() - began
            await asyncio.sleep(0.05)


class DiscoveryServer:
    """Sends one list to all callers. `down` resets open connections and refuses new ones."""

    def __init__(self):
        self.address, self.targets, self.rev, self.open = free_address(), [], 0, set()
        self.server = None

    async def up(self, *targets):
        self.targets, self.rev = targets, self.rev + 1
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=512)

    def down(self):
        self.server.close()
        for writer in self.open:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.open.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            writer.write(encode_chunk(list_update(*self.targets, rev=self.rev) + b"\n"))
            while not reader.at_eof() and not writer.transport.is_closing():
                writer.write(encode_chunk(b"\n"))
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(100), 1.0)
        self.open.discard(writer)
        writer.close()
