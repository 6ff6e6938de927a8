"""A TCP link on loopback that can be cut, as behind a partition: bytes sent meanwhile are held up and arrive after it."""

import asyncio
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
