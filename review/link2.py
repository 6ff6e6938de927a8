"""A TCP link on loopback that can be cut, as behind a partition: bytes sent meanwhile are held up and arrive after it."""

import asyncio
import socket
import threading

ROUND_TRIP_S = 0.002  # 1 ms one way between clients and the system


class Links:
    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, listen, target, applies=lambda peer: True):
        link = Link(self.loop, target, applies)
        asyncio.run_coroutine_threadsafe(asyncio.start_server(link.accept, *listen), self.loop).result(5)
        return link


class Link:
    """`applies` tells for a connection, by the address of its sender, whether it crosses the partition."""

    def __init__(self, loop, target, applies):
        self.loop, self.target, self.applies = loop, target, applies
        self.up = asyncio.Event()
        self.loop.call_soon_threadsafe(self.up.set)

    def cut(self):
        self.loop.call_soon_threadsafe(self.up.clear)

    def heal(self):
        self.loop.call_soon_threadsafe(self.up.set)

    async def accept(self, reader, writer):
        crosses = self.applies(writer.get_extra_info("peername"))
        if crosses:
            await self.up.wait()  # the opening packet is lost meanwhile
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.forward(reader, back_writer, writer, crosses), self.forward(back_reader, writer, back_writer, crosses))

    async def forward(self, reader, writer, back, crosses):
        try:
            held = False
            while data := await reader.read(65536):
                if crosses and not self.up.is_set():
                    held = True
                    await self.up.wait()
                writer.write(data)
                await writer.drain()
            if crosses:
                await self.up.wait()
            if held:
                await asyncio.sleep(ROUND_TRIP_S)  # the end of the channel follows once the data is acknowledged
            writer.close()
        except OSError:
            writer.transport.abort()
            back.transport.abort()


class Mesh:
    """Links between the processes of a deployment. Each process is reached by the others through a link, and a partition between two
    groups of processes can be made: bytes between them are held up, new connections wait."""

    def __init__(self, deployment):
        self.deployment, self.one, self.other, self.loop = deployment, (), (), asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        for ip in deployment.entries + deployment.agents:
            host = ip.replace("127.0.1.", "127.0.5.").replace("127.0.2.", "127.0.6.")
            deployment.advertise[ip] = "%s:%d" % (host, deployment.peer)
            asyncio.run_coroutine_threadsafe(self.listen(host, ip), self.loop).result(5)

    async def listen(self, host, ip):
        await asyncio.start_server(lambda reader, writer: self.accept(reader, writer, ip), host, self.deployment.peer)

    def partition(self, one, other=None):
        """Cuts the processes of `one` off from those of `other`, by default from all others; an empty list heals."""
        everybody = self.deployment.entries + self.deployment.agents
        self.one, self.other = one, [ip for ip in everybody if ip not in one] if other is None else other

    async def passes(self, ends):
        while (ends[0] in self.one and ends[1] in self.other) or (ends[0] in self.other and ends[1] in self.one):
            await asyncio.sleep(0.005)

    async def accept(self, reader, writer, ip):
        try:
            back_reader, back_writer = await asyncio.open_connection(ip, self.deployment.peer)
        except OSError:
            writer.transport.abort()
            return
        ends = [None, ip]
        await asyncio.gather(self.forward(reader, back_writer, ends, True), self.forward(back_reader, writer, ends, False))

    async def forward(self, reader, writer, ends, names_sender):
        try:
            while data := await reader.read(65536):
                if names_sender and ends[0] is None:
                    ends[0] = self.sender_of(data)
                await self.passes(ends)
                writer.write(data)
                await writer.drain()
            await self.passes(ends)
            writer.close()
        except OSError:
            writer.transport.abort()

    def sender_of(self, data):
        """The process whose address stands first in the data: each message between processes begins with the address of its sender."""
        found = {ip: data.find(b"\x0d" + socket.inet_aton(host.split(":")[0])[::-1]) for ip, host in self.deployment.advertise.items()}
        found = {ip: at for ip, at in found.items() if at >= 0}
        return min(found, key=found.get) if found else None
