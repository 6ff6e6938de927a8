"""TCP relays on loopback that inject faults: resets, delays, and data dropped in one or both directions."""

import asyncio
import threading

CHUNK = 65536


class Connection:
    """One relayed connection. Direction 0 is from the client to the target, direction 1 the reverse."""

    def __init__(self, writers):
        self.writers = writers
        self.dropping = [False, False]
        self.delay_s = 0.0


class Relay:
    """Forwards connections to one address. Runs on the event loop of `Relays`; other threads call `Relays` only."""

    def __init__(self, target):
        self.target, self.connections, self.closed = target, set(), False

    async def accept(self, reader, writer):
        try:
            back_reader, back_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection((back_writer, writer))
        self.connections.add(connection)
        await asyncio.gather(self.forward(reader, connection, 0), self.forward(back_reader, connection, 1))
        self.connections.discard(connection)

    async def forward(self, reader, connection, direction):
        writer = connection.writers[direction]
        try:
            while data := await reader.read(CHUNK):
                if connection.delay_s:
                    await asyncio.sleep(connection.delay_s)
                if not connection.dropping[direction]:
                    writer.write(data)
                    await writer.drain()
            if connection.dropping[direction]:
                return  # while data is dropped, the end of the stream is not forwarded either
            writer.close()
        except OSError:
            for other in connection.writers:
                other.transport.abort()


class Relays:
    """All relays of a run. Methods may be called from any thread."""

    def __init__(self):
        self.loop, self.relays = asyncio.new_event_loop(), []
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, listen, target):
        """Starts a relay and returns once it accepts connections. Addresses are (host, port)."""
        relay = Relay(target)
        self.relays.append(relay)
        asyncio.run_coroutine_threadsafe(asyncio.start_server(relay.accept, *listen), self.loop).result(5)
        return relay

    def inject_fault(self, kind, relay, rng, seconds):
        """Injects a fault into some of the relay's open connections.

        "reset" aborts a connection, "delay" delays each chunk of its data by 0.02 to 0.22 s during the next `seconds`, "silence" drops its
        data in both directions permanently, and "cut" drops data in one or both directions and aborts the connection after `seconds`.
        """
        self.loop.call_soon_threadsafe(self._inject_fault, kind, relay, rng.random(), rng.random(), seconds)

    def _inject_fault(self, kind, relay, share, side, seconds):
        # `share` and `side` are random in [0, 1). Steps of the golden ratio spread the chosen connections evenly over the list.
        selected = [c for n, c in enumerate(sorted(relay.connections, key=id)) if (n * 0.618 + side) % 1.0 <= 0.3 + share]
        for connection in selected:
            if kind == "reset":
                for writer in connection.writers:
                    writer.transport.abort()
            elif kind == "delay":
                connection.delay_s = 0.02 + 0.2 * share
                self.loop.call_later(seconds, setattr, connection, "delay_s", 0.0)
            else:
                directions = (0, 1) if kind == "silence" or side < 0.4 else (0,) if side < 0.7 else (1,)
                for direction in directions:
                    connection.dropping[direction] = True
                    if kind == "cut":
                        # Bytes are missing from the stream, so the connection can't be used again.
                        self.loop.call_later(seconds, connection.writers[direction].transport.abort)
